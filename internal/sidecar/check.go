package sidecar

import (
	"context"
	"sync"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/internal/mutant"
	"pollenscale/io/http1"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	keepDelivering = mutant.New("sidecar/keep-delivering")
	recheckBusy    = mutant.New("sidecar/recheck-busy")
)

// attemptCheck asks the target's daemon whether it has received an attempt that stays without
// a response, and cancels the attempt if it has not. It runs beside the exchange and may end
// after the response has begun.
type attemptCheck struct {
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	response  *http1.Response
	handedOn  bool // the response is being passed on to the caller
	cancelled bool
	stopped   bool
}

// startCheck starts the check of an attempt. The cancel function ends the attempt.
func (s *Sidecar) startCheck(
	ctx context.Context, cancel context.CancelCauseFunc, q *request, to *fleet.Target, ref attempt.Ref, delay time.Duration,
) *attemptCheck {
	c := &attemptCheck{cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(delay, func() { s.checkAttempt(ctx, c, q, to, ref) })
	return c
}

// stop starts no further check.
func (c *attemptCheck) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
}

// begin records the head of the response.
func (c *attemptCheck) begin(r *http1.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = r
}

// progress returns a number that grows with the bytes of the response that have been read.
func (c *attemptCheck) progress() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progressLocked()
}

func (c *attemptCheck) progressLocked() int64 {
	if c.response == nil {
		return 0
	}
	return 1 + c.response.Received()
}

// handOn records that the response is passed on from here, at the pace of its caller. It
// reports false if the attempt has been cancelled before.
func (c *attemptCheck) handOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOn = true
	return !c.cancelled
}

// stalled calls f, which may cancel the attempt, unless the response has made progress since
// the given state or is being passed on.
func (c *attemptCheck) stalled(since int64, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !keepDelivering.Off() && (c.handedOn || c.progressLocked() > since) {
		return
	}
	f()
}

// cancelAttempt ends the attempt. It is called by the function given to stalled.
func (c *attemptCheck) cancelAttempt(cause error) {
	c.cancelled = true
	c.cancel(cause)
}

// repeat checks the attempt once more after minCheckDelay.
func (c *attemptCheck) repeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped && !c.handedOn {
		c.timer.Reset(minCheckDelay)
	}
}

// checkDelay returns how long an attempt may be without a response before the other
// daemon is asked whether it has received it.
func checkDelay(serviceTime time.Duration) time.Duration { return max(minCheckDelay, 2*serviceTime) }

// checkAttempt asks the target's daemon whether it has received the attempt, and
// cancels the attempt if it has not. A daemon that does not respond is marked
// unreachable, and an idempotent request is sent to another target, unless this daemon stops:
// then the target's response may still arrive in time, and one of another target may not.
// Nothing happens if the response arrives meanwhile: the check may be late on a link or at a
// daemon that is busy, and the response may already be on its way to the caller.
func (s *Sidecar) checkAttempt(ctx context.Context, c *attemptCheck, q *request, to *fleet.Target, ref attempt.Ref) {
	asked, before := s.now(), c.progress()
	o, err := s.queryAttempt(ctx, callCheck, q, to, ref)
	switch {
	case ctx.Err() != nil:
	case err != nil && s.roster.SeenSince(to.Daemon, asked) && !recheckBusy.Off():
		// The daemon has responded to others meanwhile: it is busy, and the target at work.
		c.repeat()
	case err != nil:
		c.stalled(before, func() {
			s.markUnreachable(to, err)
			if q.route.Idempotent() && !s.stopping.Load() {
				c.cancelAttempt(errDaemonUnresponsive)
			}
		})
	case o == outcome.NotRun:
		c.stalled(before, func() {
			s.log.Warn("entry: connection silent.", "request", q.ID, "target", to.Daemon, "waited", s.now().Sub(q.arrivedAt))
			s.peerPool(to.PeerAddress).CloseIdle()
			c.cancelAttempt(errConnectionSilent)
		})
	}
}

// errDaemonUnresponsive cancels an idempotent attempt at a daemon that no longer
// responds.
var errDaemonUnresponsive = outcome.New(outcome.Unknown, outcome.ConnectionLost, "the target's daemon does not answer")

// errConnectionSilent cancels an attempt that never arrived, and that the target's
// daemon has promised not to run.
var errConnectionSilent = outcome.New(outcome.NotRun, outcome.ConnectionLost, "the connection is silent; settled as not run")
