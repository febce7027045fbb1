package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// maxTargetCallBytes limits the body of a call of the target.
	maxTargetCallBytes = 16 << 10
	// recordWriteTimeout limits how long a target that leaves waits for its acknowledgement,
	// which is sent once the store has the record. A target waits a second for a response.
	recordWriteTimeout = 800 * time.Millisecond
)

// Errors of departures that are not acknowledged.
var (
	errNotRecorded = errors.New("the store does not have the departure yet")
	errLaterInUse  = errors.New("a target with this ID and a later start is in use")
)

// serveControl serves the calls that the target makes to the daemon beside it.
func (s *Sidecar) serveControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTargetCallBytes))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	now := s.now()
	call, err := s.protocol.ReadTargetCall(r, body, now)
	if err == nil && call.Heartbeat != nil {
		err = s.checkService(call.Heartbeat.Service)
	}
	if err != nil {
		s.meters.invalid("target").Inc()
		s.log.Warn("target: call rejected.", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.applyTargetCall(r.Context(), call, now); err != nil {
		s.log.Warn("target: departure not acknowledged.", "target", call.target(), "waited", s.now().Sub(now), "error", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := io.WriteString(w, "{}"); err != nil {
		s.log.Debug("target: writing the acknowledgement failed.", "error", err)
	}
}

// checkService rejects heartbeats for services that the configuration does not contain.
func (s *Sidecar) checkService(service fleet.Service) error {
	if c := s.config.Current(); c != nil && c.Service(service) == nil {
		return errors.Newf("heartbeat: unknown service %q", service)
	}
	return nil
}

// applyTargetCall applies a call of the target. An error means that the call must not be
// acknowledged.
func (s *Sidecar) applyTargetCall(ctx context.Context, call TargetCall, now time.Time) error {
	if call.Heartbeat == nil {
		s.applyLeave(call, now)
		return s.awaitDeparted(ctx, call.target())
	}
	s.applyHeartbeat(call.Heartbeat, now)
	if call.Heartbeat.Draining {
		return s.awaitDeparted(ctx, call.target())
	}
	return nil
}

// awaitDeparted returns nil once the departure of a target may be acknowledged.
func (s *Sidecar) awaitDeparted(ctx context.Context, id exchange.TargetID) error {
	if s.localTarget.InUse(id) {
		return errLaterInUse
	}
	return s.awaitRecorded(ctx)
}

// awaitRecorded waits until the store has the departure of the target, at most
// recordWriteTimeout. All processes can end at the same moment, so that nothing else makes
// an acknowledgement binding for those that come after them.
func (s *Sidecar) awaitRecorded(ctx context.Context) error {
	if acknowledgeRecorded.Off() {
		return nil
	}
	select {
	case <-s.recordStored():
		return nil
	case <-time.After(recordWriteTimeout):
	case <-ctx.Done():
	}
	return errNotRecorded
}

func (s *Sidecar) applyHeartbeat(h *localtarget.Heartbeat, now time.Time) {
	result := s.localTarget.ApplyHeartbeat(*h, now)
	s.observeColdHeartbeat(h.ColdUntil, result, now)
	if result == localtarget.Unchanged {
		return
	}
	s.log.Info("target: heartbeat.", "target", h.ID, "service", h.Service, "address", h.Address, "born", h.Born,
		"sequence", h.Sequence, "draining", h.Draining, "slots", h.Slots, "verdict", result)
	if result == localtarget.Stale || result == localtarget.Unconfirmed {
		return
	}
	s.targetChanged(result == localtarget.Replaced)
}

func (s *Sidecar) applyLeave(call TargetCall, now time.Time) {
	result := s.localTarget.Leave(call.Leaving, call.Born, now)
	s.log.Info("target: leaves.", "target", call.Leaving, "born", call.Born, "verdict", result)
	if result == localtarget.Changed {
		s.targetChanged(false)
	}
}

// targetChanged applies a new state of the target and publishes it.
func (s *Sidecar) targetChanged(replaced bool) {
	view := s.localTarget.View()
	s.limit.SetSlots(view.Slots)
	if replaced {
		s.replaceTarget(view)
	}
	s.recordChanged()
}

// replaceTarget resets what belonged to the previous incarnation of the target:
// connections, the concurrency limit, the rate limit and the load reports.
func (s *Sidecar) replaceTarget(view localtarget.View) {
	address := view.Address
	if address == "" {
		address = s.settings.Load().Target
	}
	s.setTarget(address)
	s.limit.ResetWarm()
	s.slowdown.Reset()
	s.targetReport.reset()
	s.hanging.reset()
	s.reserveForeign()
	s.queue.Resume()
}

// ownState returns the state of the target that is published to other daemons.
func (s *Sidecar) ownState() fleet.State {
	if s.stopping.Load() {
		return fleet.Leaving
	}
	view := s.localTarget.View()
	if view.ID == "" {
		return fleet.Leaving
	}
	return s.withColdness(view.State)
}

// serveReady responds to readiness checks: whether clients may use this daemon.
func (s *Sidecar) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != s.protocol.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case s.stopping.Load() || s.config.Current() == nil || !s.hasJoined() || !s.evacuationsKnown():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// joinTimeout is how long a daemon that cannot read the records of the others reports
// that it is not ready. After that it serves with the records that it has received.
const joinTimeout = 2 * time.Second

func (s *Sidecar) hasJoined() bool {
	return s.joined.Load() || s.now().Sub(s.startedAt) > joinTimeout
}

const (
	// clientDrainTime is how long clients may keep sending requests after the daemon
	// reports that it is not ready: the platform removes it after two failed checks.
	clientDrainTime = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left unused.
	shutdownMargin = 400 * time.Millisecond
	// gracefulServers is the number of servers, those for callers and peers, that complete
	// the requests that they have read.
	gracefulServers = 2
	// idlePollInterval is how often shutdown checks whether requests are still in
	// progress.
	idlePollInterval = 20 * time.Millisecond
)

// stopAt begins the shutdown, which ends at the given time at the latest. Requests with
// a later deadline are rejected from then on, so that none is cut off.
func (s *Sidecar) stopAt(end time.Time) {
	s.stopsAt.Store(&end)
	s.stopping.Store(true)
}

// stopsBefore reports whether the daemon ends before the deadline, so that it must not take
// the request.
func (s *Sidecar) stopsBefore(deadline time.Time) bool {
	end := s.stopsAt.Load()
	return end != nil && deadline.After(*end)
}

// closeServers closes the listeners for callers and peers, and then their connections, each
// once the request that it has read is answered. Requests of callers need the connections
// to peers, so that those are closed last.
func (s *Sidecar) closeServers(ctx context.Context, end time.Time) {
	if closeGracefully.Off() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, end.Add(shutdownMargin/2))
	defer cancel()
	for _, v := range s.servers[:min(gracefulServers, len(s.servers))] {
		if err := v.Shutdown(ctx); err != nil {
			s.log.Warn("daemon: closing a server took too long.", "address", v.listener.Addr(), "error", err)
		}
	}
}

// shutdown waits until the daemon can stop without interrupting requests: it publishes
// that the daemon is leaving, serves open connections until the clients have left, and
// lets requests in progress complete.
func (s *Sidecar) shutdown(ctx context.Context) error {
	begun := s.now()
	grace := s.settings.Load().GracePeriod
	end := begun.Add(grace - shutdownMargin)
	s.stopAt(end)
	s.recordChanged()
	for s.now().Before(end) {
		busy := s.activeRequests.Load() > 0 || s.activeAttempts.Load() > 0
		if !busy && s.now().Sub(begun) > clientDrainTime {
			break
		}
		if !wait.For(ctx, idlePollInterval) {
			break
		}
	}
	s.closeServers(ctx, end)
	s.log.Info("daemon: drained.", "took", s.now().Sub(begun), "active", s.activeRequests.Load(), "served", s.activeAttempts.Load())
	return nil
}
