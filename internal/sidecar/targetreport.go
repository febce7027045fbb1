package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/limit"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
)

const (
	// contactInterval is the minimum time between two probes of a target that has not
	// answered yet.
	contactInterval = 100 * time.Millisecond
	// rateRecheckInterval is the time after which a target that has stated a rate limit
	// is probed if it gets no requests, whose responses would tell whether it still
	// does.
	rateRecheckInterval = 4 * time.Second
)

// targetReport holds what the target has stated about itself in its responses to this
// process.
type targetReport struct {
	rate limit.TokenBucket
	// answered is set once the target has answered this process.
	answered atomic.Bool
	// contacting is set while a request is in progress at a target that has not
	// answered yet.
	contacting atomic.Bool
	// contactAt is when the target may be probed for its first answer, nil for at once.
	// It is a pointer to keep the monotonic clock: the time of day may step.
	contactAt atomic.Pointer[time.Time]
}

// reset forgets the statements of an earlier incarnation of the target.
func (r *targetReport) reset() {
	r.rate.Reset()
	r.answered.Store(false)
	r.contactAt.Store(nil)
}

// limited reports whether the target states a rate limit.
func (r *targetReport) limited() bool {
	_, limited := r.rate.Value()
	return limited
}

// observeTarget evaluates the metadata of a response, to a request or a probe that was
// sent at the given time to the target in view. Responses that do not prove that they
// come from that incarnation are ignored.
func (s *Sidecar) observeTarget(view localtarget.View, meta exchange.Response, sent time.Time) {
	now := s.now()
	if current := s.localTarget.View(); current.ID != view.ID || current.Born != view.Born || !answersFor(meta, view) {
		return
	}
	s.targetReport.answered.Store(true)
	s.observeRateLimit(view, meta.RateLimit, sent, now)
	s.observeLoad(meta.Load, now)
	s.observeForeign(meta.Load, sent, now)
	if meta.Leaving {
		s.observeLeaving(view, now)
	}
}

// answersFor reports whether the response comes from the target in view.
func answersFor(meta exchange.Response, view localtarget.View) bool {
	return meta.FromTarget || meta.NotExecuted && !meta.Misdirected || meta.Target == view.ID
}

func (s *Sidecar) observeRateLimit(view localtarget.View, rate *exchange.Rate, sent, now time.Time) {
	r := &s.targetReport.rate
	if rate == nil {
		if r.Lift(sent) {
			s.log.Info("target: rate limit lifted.", "target", view.ID)
		}
		return
	}
	if old, limited := r.Value(); !limited || old != *rate {
		s.log.Info("target: rate limit stated.", "target", view.ID, "limit", *rate)
	}
	r.Set(*rate, now)
	s.queue.Resume()
}

// observeLeaving ends the use of a target that states in a response that it leaves. Its
// announcement on the control address may be late or lost.
func (s *Sidecar) observeLeaving(view localtarget.View, now time.Time) {
	if honourLeaving.Off() || s.localTarget.Leave(view.ID, view.Born, now) != localtarget.Changed {
		return
	}
	s.log.Info("target: states that it leaves.", "target", view.ID, "born", view.Born)
	s.recordChanged()
}

// contactTarget makes sure that the target has answered this process before it gets
// requests: an earlier process may have passed on that it states a rate limit or leaves,
// and callers rely on it. While the target answers no probe, it gets one request at a
// time. The caller calls done when the request has ended.
func (s *Sidecar) contactTarget(ctx context.Context) (done func(), err *outcome.Error) {
	r := &s.targetReport
	done = func() {}
	if r.answered.Load() {
		return done, nil
	}
	s.probeForContact(ctx)
	if r.answered.Load() {
		return done, nil
	}
	if r.contacting.CompareAndSwap(false, true) {
		return func() { r.contacting.Store(false) }, nil
	}
	err = outcome.New(outcome.NotRun, outcome.Overloaded, "the target has not answered this daemon yet")
	err.RetryAt = s.now().Add(contactInterval)
	return done, err
}

// probeForContact probes a target that has not answered yet, if that is due. Requests that
// arrive during a probe share it.
func (s *Sidecar) probeForContact(ctx context.Context) {
	r := &s.targetReport
	s.probeGroup.Do("contact", func() (any, error) { //nolint:errcheck,gosec // the function returns none
		now := s.now()
		if at := r.contactAt.Load(); at != nil && now.Before(*at) {
			return nil, nil
		}
		s.probe(ctx)
		next := now.Add(contactInterval)
		r.contactAt.Store(&next)
		return nil, nil
	})
}

// recheckRateLimit probes a target whose rate limit has not been stated recently.
func (s *Sidecar) recheckRateLimit(ctx context.Context) {
	if s.targetReport.rate.StatedBefore(s.now().Add(-rateRecheckInterval)) {
		s.probe(ctx)
	}
}

// statedRateLimit returns the rate limit of the target in requests per second, -1 if it
// states none.
func (s *Sidecar) statedRateLimit() float64 {
	rate, limited := s.targetReport.rate.Value()
	if !limited {
		return -1
	}
	return float64(rate)
}
