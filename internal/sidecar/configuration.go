package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"pollenscale/core/route"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

// watchTime is how long one call waits for a new configuration. The store allows 30 s.
const watchTime = 25 * time.Second

// watchConfig keeps the operator's configuration.
func (s *Sidecar) watchConfig(ctx context.Context) error {
	pause := storeRetry
	for ctx.Err() == nil {
		version, ok := s.readConfig(ctx)
		if ok {
			pause = storeRetry
		}
		for ok {
			version, ok = s.awaitConfig(ctx, version)
		}
		if !wait.For(ctx, jittered(pause)) {
			return nil
		}
		pause = min(2*pause, maxStoreRetry)
	}
	return nil
}

// readConfig reads the configuration row and returns the version from which to watch.
func (s *Sidecar) readConfig(ctx context.Context) (store.Version, bool) {
	row, _, err := s.tables.Read(ctx, s.protocol.ConfigTable, s.protocol.ConfigKey)
	if err != nil {
		s.meters.store.lost(s.log, err)
		return 0, false
	}
	s.meters.store.regained(s.log)
	if row.Version == 0 {
		return 0, true
	}
	s.offerConfig(row.Value, "store")
	return row.Version, true
}

// awaitConfig waits for changes after a version.
func (s *Sidecar) awaitConfig(ctx context.Context, after store.Version) (store.Version, bool) {
	changes, err := s.tables.Watch(ctx, s.protocol.ConfigTable, after, s.now().Add(watchTime))
	if errors.Is(err, store.ErrCompacted) {
		return s.readConfig(ctx)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.meters.store.lost(s.log, err)
		}
		return 0, false
	}
	s.meters.store.regained(s.log)
	for _, row := range changes.Rows {
		if row.Key == s.protocol.ConfigKey && !row.Deleted {
			s.offerConfig(row.Value, "store")
		}
	}
	return max(changes.Version, after), true
}

// offerConfig puts a configuration into force if it is valid and newer.
func (s *Sidecar) offerConfig(raw []byte, source string) {
	c, err := s.protocol.DecodeConfig(raw)
	if err != nil {
		s.log.Error("config: set aside.", "source", source, "error", err)
		return
	}
	if s.holder.Offer(c, raw) {
		s.log.Info("config: in force.", "version", c.Version, "routes", len(c.Routes), "source", source)
	}
}

// configChanged takes over what other parts keep of the configuration.
func (s *Sidecar) configChanged(_, now *route.Config) {
	s.meters.version.Set(float64(now.Version))
}

// jittered returns between half of d and one and a half of it, so that daemons
// that began together do not call together.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
