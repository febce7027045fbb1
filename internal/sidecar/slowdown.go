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
	// probeTimeout bounds a probe; targets answer it at once.
	probeTimeout = 50 * time.Millisecond
	// probeInterval is how often a slowed-down target with waiting requests is
	// probed for the end of the phase, which lasts about 100 ms.
	probeInterval = 15 * time.Millisecond
)

// observeLoad takes over a load report of the target.
func (s *Sidecar) observeLoad(l *exchange.Load, at time.Time) {
	if l == nil {
		return
	}
	s.slowdown.Observe(slowdown.Level(l.Slowdown), at)
	if !s.slowdown.Slow() {
		s.queue.Resume()
		return
	}
	s.queue.Pause()
	select {
	case s.slowed <- struct{}{}:
	default:
	}
}

// slowNow reports whether the target is slowed down at this moment. It probes
// the target unless an answer has just told. A target that is new to the daemon
// is asked once whether it reports its load at all; one that does not, or does
// not answer the probe, is taken as it is.
func (s *Sidecar) slowNow(ctx context.Context) bool {
	if !s.slowdown.Reported() && !s.asked.CompareAndSwap(false, true) {
		return false
	}
	if !s.slowdown.Fresh(s.now()) {
		s.probe(ctx)
	}
	return s.slowdown.Fresh(s.now()) && s.slowdown.Slow()
}

// probe asks the target for its load. Calls at the same time share one probe.
func (s *Sidecar) probe(ctx context.Context) {
	_, err, _ := s.probing.Do("", func() (any, error) { return nil, s.sendProbe(ctx) })
	if err != nil {
		s.log.Debug("target: probe failed.", "error", err)
	}
}

func (s *Sidecar) sendProbe(ctx context.Context) error {
	service := s.holder.Current().Service(s.local.View().Service)
	if service == nil || service.HealthPath == "" {
		return nil
	}
	sent := s.now()
	pool := s.target.Load()
	s.meters.probes.Inc()
	r, err := pool.Do(context.WithoutCancel(ctx), &http1.Request{
		Method: http.MethodGet, Target: service.HealthPath, Host: pool.Address(), Deadline: sent.Add(probeTimeout),
	})
	if err != nil {
		// A silent connection is seldom alone.
		pool.CloseIdle()
		return err
	}
	_, err = readAnswer(r)
	s.observeLoad(s.protocol.ReadAnswer(r.Status, r.Header).Load, s.now())
	return err
}

// followSlowdown probes a slowed-down target while requests wait for the end of
// the phase.
func (s *Sidecar) followSlowdown(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.slowed:
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
				s.endPause(ctx)
			}
		}
	}
}

// refreshPause looks whether a pause still holds that nothing has waited for, so
// that no request is refused for an old report.
func (s *Sidecar) refreshPause(ctx context.Context) {
	if paused, queued := s.queue.Paused(); paused && queued == 0 && !s.slowdown.Fresh(s.now()) {
		s.endPause(ctx)
	}
}

// endPause probes the target, and ends the pause also when it does not tell.
func (s *Sidecar) endPause(ctx context.Context) {
	s.probe(ctx)
	if !s.slowdown.Fresh(s.now()) {
		s.queue.Resume()
	}
}
