package sidecar

import (
	"context"
	"net/http"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/slowdown"
	"pollenscale/core/wait"
	"pollenscale/io/http1"
)

const (
	// probeTimeout limits a probe; targets respond to it immediately.
	probeTimeout = 50 * time.Millisecond
	// probeInterval is how often a slowed-down target with queued requests is probed
	// for the end of the slowdown, which lasts about 100 ms.
	probeInterval = 15 * time.Millisecond
)

// observeLoad evaluates a load report of the target: it pauses the queue while the
// target is slowed down. A target with a rate limit is not paused, since the probes
// that would detect the end of the pause count as requests.
func (s *Sidecar) observeLoad(l *exchange.Load, at time.Time) {
	if l == nil {
		return
	}
	s.slowdown.Observe(slowdown.Level(l.Slowdown), at)
	if !s.slowdown.Slow() || s.targetReport.limited() {
		s.queue.Resume()
		return
	}
	s.queue.Pause()
	select {
	case s.slowdownStarted <- struct{}{}:
	default:
	}
}

// slowedDown reports whether the target is slowed down now. It probes the target unless
// a recent response contained its load. A target that does not report its load, or that
// does not respond to the probe, is assumed not to be slowed down.
func (s *Sidecar) slowedDown(ctx context.Context) bool {
	if !s.slowdown.Reported() || s.targetReport.limited() {
		return false
	}
	if !s.slowdown.Fresh(s.now()) {
		s.probe(ctx)
	}
	return s.slowdown.Fresh(s.now()) && s.slowdown.Slow()
}

// probe asks the target for its load. Concurrent calls share one probe.
func (s *Sidecar) probe(ctx context.Context) {
	_, err, _ := s.probeGroup.Do("", func() (any, error) { return nil, s.sendProbe(ctx) })
	if err != nil {
		s.log.Debug("target: probe failed.", "error", err)
	}
}

func (s *Sidecar) sendProbe(ctx context.Context) error {
	view := s.localTarget.View()
	service := s.config.Current().Service(view.Service)
	if service == nil || service.HealthPath == "" {
		return nil
	}
	sent := s.now()
	pool := s.targetPool.Load()
	s.meters.probes.Inc()
	s.targetReport.rate.Take(sent)
	s.coldTarget.ProbeSent(sent)
	r, err := pool.Do(context.WithoutCancel(ctx), &http1.Request{
		Method: http.MethodGet, Target: service.HealthPath, Host: pool.Address(), Deadline: sent.Add(probeTimeout),
		// A late copy of the response to a request may arrive first.
		Matches: func(h http.Header) bool { return s.protocol.ReadAnswer(0, h).ID == "" },
	})
	if err != nil {
		// If one connection is silent, others usually are too.
		pool.CloseIdle()
		return err
	}
	err = discardResponse(r)
	meta := s.protocol.ReadAnswer(r.Status, r.Header)
	s.observeColdProbe(view, meta, sent)
	s.observeTarget(view, meta, sent)
	return err
}

// probeWhileSlowed probes a slowed-down target while requests are queued for the end of
// the slowdown.
func (s *Sidecar) probeWhileSlowed(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.slowdownStarted:
		}
		for {
			if !wait.For(ctx, probeInterval) {
				return nil
			}
			paused, queued := s.queue.Paused()
			if !paused {
				break
			}
			if queued > 0 {
				s.tryResume(ctx)
			}
		}
	}
}

// recheckPause checks whether a pause still applies during which no request has been
// queued, so that no request is refused because of an outdated report.
func (s *Sidecar) recheckPause(ctx context.Context) {
	if paused, queued := s.queue.Paused(); paused && queued == 0 && !s.slowdown.Fresh(s.now()) {
		s.tryResume(ctx)
	}
}

// tryResume probes the target. It resumes the queue also if the target does not report
// its load.
func (s *Sidecar) tryResume(ctx context.Context) {
	s.probe(ctx)
	if !s.slowdown.Fresh(s.now()) {
		s.queue.Resume()
	}
}
