package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"pollenscale/core/coldlimit"
	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/wait"
)

// coldCheckInterval is how often it is checked whether a target that limits what it gets while
// it is cold has to be probed, in addition to the checks after each request.
const coldCheckInterval = 50 * time.Millisecond

// minRecountDelay is the shortest time after which a request that waits to be sent is checked
// again.
const minRecountDelay = 5 * time.Millisecond

// coldTarget is what the daemon knows of the coldness of the target beside it.
type coldTarget struct {
	*coldlimit.Limit
	// published is set while the daemon's record states that the target is cold.
	published atomic.Bool
	// due wakes watchColdness.
	due chan struct{}
}

func newColdTarget(now time.Time) coldTarget {
	return coldTarget{Limit: coldlimit.New(now), due: make(chan struct{}, 1)}
}

// applyColdLimits applies the limits of the configuration and the settings to the target.
func (s *Sidecar) applyColdLimits() {
	limits := coldlimit.Limits{}
	bounds := s.settings.Load().Cold
	if service := s.config.Current().Service(s.localTarget.View().Service); service != nil && service.ColdPerSecond > 0 {
		limits = coldlimit.Limits{
			PerSecond: service.ColdPerSecond, Over: bounds.Over, Slack: bounds.Slack, Probes: service.HealthPath != "",
		}
	}
	s.coldTarget.SetLimits(limits)
}

// checkCold rejects attempts that arrive before the daemon has a configuration, which tells
// what a cold target takes, in deployments that have such limits.
func (s *Sidecar) checkCold() *outcome.Error {
	if s.settings.Load().Cold.Slack <= 0 || s.config.Current() != nil {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.NoTarget, "no configuration yet")
}

// observeColdHeartbeat evaluates what a heartbeat states about coldness.
func (s *Sidecar) observeColdHeartbeat(until time.Time, result localtarget.Result, now time.Time) {
	if result == localtarget.Stale || result == localtarget.Unconfirmed {
		return
	}
	if result == localtarget.Replaced {
		s.coldTarget.Reset()
		s.applyColdLimits()
	}
	s.coldTarget.StateCold(until, now)
	s.publishColdness()
}

// observeColdProbe evaluates the response to a probe that was sent at the given time to the
// target in view.
func (s *Sidecar) observeColdProbe(view localtarget.View, meta exchange.Response, sent time.Time) {
	if current := s.localTarget.View(); current.ID != view.ID || current.Born != view.Born || !answersFor(meta, view) {
		return
	}
	s.coldTarget.ProbeAnswered(sent, s.now(), meta.ColdLeft)
	s.publishColdness()
	if s.coldTarget.Limited() {
		s.queue.Refresh() // requests may wait for the proof that the target is warm
	}
}

// recountForCold counts a request a second time that may be sent long after it got its slot,
// once the target takes it: others that got their slots later may be sent at the same moment.
func (s *Sidecar) recountForCold(ctx context.Context) error {
	if !s.coldTarget.Limited() {
		return nil
	}
	for !s.coldTarget.TakeAvailable(s.now()) {
		if !wait.For(ctx, max(minRecountDelay, s.coldTarget.Wait(1, s.now()))) {
			return ctx.Err()
		}
	}
	return nil
}

// probeColdTarget wakes watchColdness if the target has to be probed.
func (s *Sidecar) probeColdTarget() {
	if !s.coldTarget.ProbeDue(s.now()) {
		return
	}
	select {
	case s.coldTarget.due <- struct{}{}:
	default:
	}
}

// watchColdness probes a target that limits what it gets while it is cold, and publishes its
// state.
func (s *Sidecar) watchColdness(ctx context.Context) error {
	if s.settings.Load().Cold.Slack <= 0 {
		<-ctx.Done() // no target of this deployment has such limits
		return nil
	}
	tick := time.NewTicker(coldCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.coldTarget.due:
		case <-tick.C:
		}
		s.checkColdness(ctx)
	}
}

func (s *Sidecar) checkColdness(ctx context.Context) {
	s.applyColdLimits()
	if s.localTarget.View().State.TakesWork() && s.coldTarget.ProbeDue(s.now()) {
		s.probe(ctx)
	}
	s.publishColdness()
}

// publishColdness tells the other daemons when the target becomes cold or warm. The store keeps
// the record of before: a write costs more than the choice gains that follows from it.
func (s *Sidecar) publishColdness() {
	cold := s.coldTarget.Cold(s.now())
	if s.coldTarget.published.Swap(cold) == cold {
		return
	}
	view := s.localTarget.View()
	if cold {
		s.log.Info("target: cold.", "target", view.ID)
	} else {
		s.log.Info("target: warm.", "target", view.ID)
	}
	s.publisher.mu.Lock()
	s.publisher.sequence++
	s.publisher.mu.Unlock()
	s.announceRecord()
}

// withColdness returns the published state of a target that takes work: cold or serving.
func (s *Sidecar) withColdness(state fleet.State) fleet.State {
	if state == fleet.Serving && s.coldTarget.published.Load() {
		return fleet.Cold
	}
	return state
}

// countColdRefusal counts a request that was not run while the target was cold.
func (s *Sidecar) countColdRefusal(e *outcome.Error) {
	if e.Reason != outcome.NoTarget && e.Reason != outcome.Draining && s.coldTarget.Cold(s.now()) {
		s.meters.coldRefusals.Inc()
	}
}
