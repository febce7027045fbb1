package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/exchange"
	"pollenscale/core/hang"
	"pollenscale/core/outcome"
	"pollenscale/core/wait"
	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	moveHanging    = mutant.New("sidecar/move-hanging")
	suspectHanging = mutant.New("sidecar/suspect-hanging")
	reserveForeign = mutant.New("sidecar/reserve-foreign")
)

const (
	// foreignProbeInterval is how often a target with work that the daemon does not know of
	// is probed for its end.
	foreignProbeInterval = 100 * time.Millisecond
	// downloadPatience multiplies the bound of requests whose first part of the response may
	// have to share a link with others.
	downloadPatience = 2
)

// hanging holds what the daemon knows of requests that the target may not end.
type hanging struct {
	detector hang.Detector
	foreign  hang.Foreign
	reserved atomic.Int64  // slots that the queue leaves free for foreign work
	wake     chan struct{} // wakes probeForeign
}

// wakeUp makes probeForeign look for work of others at the target.
func (h *hanging) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *hanging) reset() {
	h.detector.Reset()
	h.foreign.Reset()
}

// errHanging cancels an idempotent request that hangs at the target.
var errHanging = outcome.New(outcome.Unknown, outcome.TargetFailed, "the target does not answer")

// targetRun is a request at the target.
type targetRun struct {
	sidecar *Sidecar
	attempt *localAttempt
	sent    time.Time
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	state   atomic.Int32
}

// The states of a targetRun.
const (
	runWaiting int32 = iota
	runAnswered
	runHanging
)

// beginRun records that a request is sent to the target, and cancels it if it hangs. An
// unsafe request, which may still complete, and one that cannot move to another target are
// left to their deadline. The caller calls answered or failed.
func (s *Sidecar) beginRun(ctx context.Context, a *localAttempt) (*targetRun, context.Context) {
	now := s.now()
	ctx, cancel := context.WithCancelCause(ctx)
	r := &targetRun{sidecar: s, attempt: a, sent: now, cancel: cancel}
	s.hanging.foreign.Start(now)
	if !a.params.movable || !a.params.idempotent || a.stream != nil || a.length > bulkThreshold || moveHanging.Off() {
		return r, ctx
	}
	bound, ok := s.hanging.detector.Bound(hang.Request{
		ServiceTime: a.params.serviceTime, Slowdown: float64(s.slowdown.Level()), Left: a.params.deadline.Sub(now),
	}, now)
	if ok {
		r.timer = time.AfterFunc(bound, func() { r.reachBound(bound) })
	}
	return r, ctx
}

// reachBound cancels the request if it counts as hanging. The connection is closed.
func (r *targetRun) reachBound(bound time.Duration) {
	s := r.sidecar
	if r.state.Load() != runWaiting || !s.hanging.detector.Hangs() || !r.state.CompareAndSwap(runWaiting, runHanging) {
		return
	}
	s.meters.hanging("target").Inc()
	s.log.Warn("target: request hangs.", "request", r.attempt.id, "bound", bound, "work", r.attempt.params.serviceTime,
		"left", r.attempt.params.deadline.Sub(s.now()))
	r.cancel(errHanging)
}

// answered records that the head of the response has arrived. It reports false if the request
// has been cancelled as hanging.
func (r *targetRun) answered() bool {
	if r.timer != nil {
		r.timer.Stop()
	}
	now := r.sidecar.now()
	r.sidecar.hanging.detector.Answered(now.Sub(r.sent), r.attempt.params.serviceTime, now)
	if !r.state.CompareAndSwap(runWaiting, runAnswered) {
		r.failed(false)
		return false
	}
	r.sidecar.hanging.foreign.End(now)
	return true
}

// failed records that the request ended without a response. The target may go on with it,
// unless it was not sent.
func (r *targetRun) failed(notSent bool) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.cancel(nil)
	s := r.sidecar
	if notSent || !s.mayProbe() {
		// Without probes, the slot could stay taken although the target has finished.
		s.hanging.foreign.End(s.now())
		return
	}
	s.hanging.foreign.Abandon(s.now())
	s.reserveForeign()
	s.hanging.wakeUp()
}

// finish ends the exchange of a response that was read completely, or lets it go on until
// its remainder is closed.
func (r *targetRun) finish(resp *response) {
	if resp == nil || resp.rest == nil {
		r.cancel(nil)
		return
	}
	resp.rest = &remainder{ReadCloser: resp.rest, end: func() { r.cancel(nil) }}
}

// observeForeign evaluates the number of requests that the target reports.
func (s *Sidecar) observeForeign(l *exchange.Load, sent, now time.Time) {
	if l == nil || l.Slots == 0 {
		return
	}
	s.hanging.foreign.Report(int(l.Running)+int(l.Waiting), sent, now)
	s.reserveForeign()
}

// reserveForeign keeps slots of the target free for work that the daemon does not have under
// way.
func (s *Sidecar) reserveForeign() {
	n := int64(s.hanging.foreign.Requests(s.now()))
	if reserveForeign.Off() {
		n = 0
	}
	if old := s.hanging.reserved.Swap(n); old != n {
		s.queue.SetForeign(int(n))
		s.hanging.wakeUp()
		s.log.Debug("target: work of others changed.", "requests", n, "before", old)
	}
}

// probeForeign probes the target while it has work that the daemon does not have under way. It
// does not run in between.
func (s *Sidecar) probeForeign(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.hanging.wake:
		}
		for s.reserveForeign(); s.hanging.reserved.Load() > 0; s.reserveForeign() {
			if s.mayProbe() {
				s.probe(ctx)
			}
			if !wait.For(ctx, foreignProbeInterval) {
				return nil
			}
		}
	}
}

// mayProbe reports whether the target can be probed at any time. At one with a rate limit, a
// probe counts as a request.
func (s *Sidecar) mayProbe() bool {
	service := s.config.Current().Service(s.localTarget.View().Service)
	return service != nil && service.HealthPath != "" && !s.targetReport.limited()
}

// suspicion is a timer that counts an attempt in progress as a failure of its target.
type suspicion struct {
	timer *time.Timer
	fired atomic.Bool
}

// suspectLater counts the attempt as a failure of its target once it has taken too long, so
// that few further requests go there. An attempt without a time by which it starts may wait
// in a queue, and one with a long body for the link.
func (s *Sidecar) suspectLater(q *request, c choice.Choice, serviceTime time.Duration) *suspicion {
	if c.StartBy.IsZero() || q.bulk() || suspectHanging.Off() {
		return &suspicion{}
	}
	now := s.now()
	var fresh hang.Detector // the entry does not see how long the answers of a target take
	bound, ok := fresh.Bound(hang.Request{ServiceTime: serviceTime, Left: q.deadline.Sub(now)}, now)
	if !ok {
		return &suspicion{}
	}
	if q.largeResponse() {
		bound *= downloadPatience
	}
	v := &suspicion{}
	v.timer = time.AfterFunc(c.StartBy.Sub(now)+bound, func() {
		v.fired.Store(true)
		s.chooser.Suspect(c)
		s.meters.hanging("entry").Inc()
		s.log.Info("entry: attempt takes long.", "request", q.ID, "target", c.Target.Daemon, "bound", bound, "work", serviceTime)
	})
	return v
}

// stop ends the timer and reports whether the failure has been counted.
func (v *suspicion) stop() bool {
	if v.timer != nil {
		v.timer.Stop()
	}
	return v.fired.Load()
}

// movable reports whether the request may go to another target if it hangs at the next one.
func (s *Sidecar) movable(q *request) bool {
	return q.route.Idempotent() && q.replayable() && q.reached+1 < q.route.MaxAttempts && s.retryBudget(q.service).Affords(1)
}
