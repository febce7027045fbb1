package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// maxTargetCall bounds the body of a call of the target.
	maxTargetCall = 16 << 10
	// recordWait bounds how long the acknowledgement of a drain waits for the
	// store, so that a restart of this daemon meets the record.
	recordWait = 250 * time.Millisecond
)

// serveControl serves the calls of the target beside the daemon.
func (s *Sidecar) serveControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTargetCall))
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
		s.log.Warn("target: call set aside.", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if call.Heartbeat != nil {
		s.heartbeat(r.Context(), call.Heartbeat, now)
	} else {
		s.leave(r.Context(), call, now)
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := io.WriteString(w, "{}"); err != nil {
		s.log.Debug("target: acknowledgement not sent.", "error", err)
	}
}

// checkService refuses heartbeats of services that the configuration does not name.
func (s *Sidecar) checkService(service fleet.Service) error {
	if c := s.holder.Current(); c != nil && c.Service(service) == nil {
		return errors.Newf("heartbeat: unknown service %q", service)
	}
	return nil
}

func (s *Sidecar) heartbeat(ctx context.Context, h *localtarget.Heartbeat, now time.Time) {
	verdict := s.local.ApplyHeartbeat(*h, now)
	if verdict == localtarget.Unchanged {
		return
	}
	s.log.Info("target: heartbeat.", "target", h.ID, "service", h.Service, "address", h.Address, "born", h.Born,
		"sequence", h.Sequence, "draining", h.Draining, "slots", h.Slots, "verdict", verdict)
	if verdict == localtarget.Stale {
		return
	}
	s.targetChanged(ctx, verdict == localtarget.Replaced)
}

func (s *Sidecar) leave(ctx context.Context, call TargetCall, now time.Time) {
	verdict := s.local.Leave(call.Leaving, call.Born, now)
	s.log.Info("target: leaves.", "target", call.Leaving, "born", call.Born, "verdict", verdict)
	if verdict == localtarget.Changed {
		s.targetChanged(ctx, false)
	}
}

// targetChanged makes a new state of the target known.
func (s *Sidecar) targetChanged(ctx context.Context, replaced bool) {
	view := s.local.View()
	s.limit.SetSlots(view.Slots)
	if replaced {
		s.replaceTarget(view)
	}
	written := s.changed()
	if view.State.TakesWork() {
		return
	}
	select {
	case <-written:
	case <-time.After(recordWait):
	case <-ctx.Done():
	}
}

// replaceTarget starts afresh with a new incarnation: connections and the limit
// belong to the old one.
func (s *Sidecar) replaceTarget(view localtarget.View) {
	address := view.Address
	if address == "" {
		address = s.settings.Load().Target
	}
	s.setTarget(address)
	s.limit.ResetWarm()
	s.slowdown.Reset()
	s.asked.Store(false)
	s.queue.Resume()
}

// ownState is the state of the target as other daemons should see it.
func (s *Sidecar) ownState() fleet.State {
	if s.stopping.Load() {
		return fleet.Leaving
	}
	view := s.local.View()
	if view.ID == "" {
		return fleet.Leaving
	}
	return view.State
}

// serveReady answers whether clients may be sent to this daemon.
func (s *Sidecar) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != s.protocol.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case s.stopping.Load() || s.holder.Current() == nil || !s.knowsOthers():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// joinTimeout is how long a daemon that cannot read the others' records keeps
// clients away. Afterwards it serves with what it has heard.
const joinTimeout = 2 * time.Second

func (s *Sidecar) knowsOthers() bool {
	return s.joined.Load() || s.now().Sub(s.startedAt) > joinTimeout
}

const (
	// clientsGone is how long clients may go on sending after the daemon has
	// said that it is not ready: the platform takes it out after two misses.
	clientsGone = 2500 * time.Millisecond
	// stopMargin is kept before the end of the grace time.
	stopMargin = 400 * time.Millisecond
	// idlePoll is how often the end of the last request is looked for.
	idlePoll = 20 * time.Millisecond
)

// stop ends the daemon without cutting a request: other daemons are told, open
// connections are served until their clients have gone, and requests under way
// complete.
func (s *Sidecar) stop(ctx context.Context) error {
	begun := s.now()
	grace := s.settings.Load().GracePeriod
	end := begun.Add(grace - stopMargin)
	s.stopping.Store(true)
	s.changed()
	for s.now().Before(end) {
		busy := s.active.Load() > 0 || s.served.Load() > 0
		if !busy && s.now().Sub(begun) > clientsGone {
			break
		}
		if !wait.For(ctx, idlePoll) {
			break
		}
	}
	s.log.Info("daemon: drained.", "took", s.now().Sub(begun), "active", s.active.Load(), "served", s.served.Load())
	return nil
}
