package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"pollenscale/core/route"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// watchTimeout is how long one call waits for a new configuration. The store allows
	// 30 s.
	watchTimeout = 25 * time.Second
	// firstWatchTimeout is how long the first call after a pause waits. If the store has
	// come back from an older copy during the pause, only a response shows it, and
	// changes may have versions before the one being watched.
	firstWatchTimeout = time.Second
	// maxConfigBytes limits a configuration that is read from another daemon.
	maxConfigBytes = 4 << 20
)

const (
	// watchSpacing is the minimum time between two calls that wait for changes, so that
	// a series of configurations does not need one call each.
	watchSpacing = 200 * time.Millisecond
	// electionInterval is how often a daemon checks whether it has to watch the store.
	electionInterval = 500 * time.Millisecond
	// notifyNear and notifyFar are the numbers of daemons of the own zone and of other
	// zones that are notified of a new configuration immediately. Each of them notifies
	// as many in turn.
	notifyNear = 8
	notifyFar  = 4
)

// watchConfig keeps the operator's configuration up to date: a few daemons of each zone
// watch the store for changes and notify the others. A daemon without a configuration
// reads it from the store itself.
func (s *Sidecar) watchConfig(ctx context.Context) error {
	pause := minStoreRetryDelay
	read := false
	for ctx.Err() == nil {
		if read || s.config.Current() != nil && s.evacuationsKnown() {
			s.awaitWatcherRole(ctx)
		}
		at, ok := s.readConfig(ctx)
		if ok {
			read, pause = true, minStoreRetryDelay
		}
		for ok && s.updateWatching() && (at.unchanged || wait.For(ctx, watchSpacing)) {
			at, ok = s.awaitConfig(ctx, at)
		}
		s.watching.Store(false)
		if !wait.For(ctx, jittered(pause)) {
			return nil
		}
		pause = min(2*pause, maxStoreRetryDelay)
	}
	return nil
}

// updateWatching reports whether this daemon has to watch the store. The other daemons
// learn of a change from the next message with the own record.
func (s *Sidecar) updateWatching() bool {
	must := s.roster.ShouldWatch(s.settings.Load().Place)
	if s.watching.Swap(must) != must {
		s.log.Info("config: watch of the store changed.", "watching", must, "version", s.config.Version())
	}
	return must
}

// awaitWatcherRole waits until this daemon has to watch the store.
func (s *Sidecar) awaitWatcherRole(ctx context.Context) {
	for !s.roster.ShouldWatch(s.settings.Load().Place) && wait.For(ctx, electionInterval) {
	}
}

// position is a version of the store, which is valid within one era.
type position struct {
	version store.Version
	era     store.Era
	// unchanged is set if the last call that waited for changes has returned none, so
	// that the next one follows without a pause.
	unchanged bool
	// config is the configuration at the position, unset if it could not be applied.
	config provenConfig
}

// readConfig reads the configuration row and returns the position after which to watch.
func (s *Sidecar) readConfig(ctx context.Context) (position, bool) {
	sent := s.bootTime()
	read, err := s.tables.Snapshot(ctx, s.protocol.ConfigTable, s.protocol.ConfigKey)
	if err != nil {
		s.meters.store.reportLost(s.log, err)
		return position{}, false
	}
	s.meters.store.reportRegained(s.log)
	s.observeEra(read.Era)
	var config provenConfig
	if read.Row.Version != 0 {
		config = s.offerConfig(read.Row.Value, "store")
	}
	if !s.readEvacuations(ctx, read.Version, s.eraOf(read.Era)) {
		return position{}, false
	}
	s.addProof(config, sent)
	return position{version: read.Version, era: s.eraOf(read.Era), config: config}, true
}

// awaitConfig waits for changes after the position and returns the position after which
// to continue. In another era it reads the row again.
func (s *Sidecar) awaitConfig(ctx context.Context, after position) (position, bool) {
	within, cancel := s.storeEra.within(ctx)
	defer cancel()
	if s.storeEra.value() > after.era {
		return s.readConfig(ctx)
	}
	until := s.now().Add(firstWatchTimeout)
	if after.unchanged {
		until = s.now().Add(s.freshnessLimits().WatchTime(watchTimeout))
	}
	sent := s.bootTime()
	changes, err := s.tables.Watch(within, s.protocol.ConfigTable, after.version, until)
	if err == nil || errors.Is(err, store.ErrCompacted) {
		s.observeEra(changes.Era)
	}
	if errors.Is(err, store.ErrCompacted) || s.storeEra.value() > after.era {
		return s.readConfig(ctx)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.meters.store.reportLost(s.log, err)
		}
		return position{}, false
	}
	s.meters.store.reportRegained(s.log)
	s.applyEvacuations(changes, after)
	config := s.applyChanges(changes, after.config)
	if changes.More && (s.freshnessLimits().Enabled() || s.settings.Load().Evacuation > 0) {
		return s.readConfig(ctx) // the configuration or an evacuation may be among the rows left out
	}
	s.addProof(config, sent)
	return position{
		version: max(changes.Version, after.version), era: after.era, config: config,
		unchanged: len(changes.Rows) == 0 && s.now().After(until.Add(-watchSpacing)),
	}, true
}

// applyChanges applies the configuration if it has changed, and returns that after the
// changes.
func (s *Sidecar) applyChanges(changes store.Changes, config provenConfig) provenConfig {
	for _, row := range changes.Rows {
		switch {
		case row.Key != s.protocol.ConfigKey:
		case row.Deleted:
			config = provenConfig{}
		default:
			config = s.offerConfig(row.Value, "store")
		}
	}
	return config
}

// offerConfig applies a configuration if it is valid and newer than the current one. It
// returns its version, unset if it is not valid.
func (s *Sidecar) offerConfig(raw []byte, source string) provenConfig {
	c, err := s.protocol.DecodeConfig(raw)
	if err != nil {
		s.log.Error("config: set aside.", "source", source, "error", err)
		return provenConfig{}
	}
	if s.config.SetIfNewer(c, raw) {
		s.log.Info("config: in force.", "version", c.Version, "routes", len(c.Routes), "source", source)
		for _, omitted := range c.Omitted {
			s.meters.invalid("config").Inc()
			s.log.Error("config: part not understood.", "version", c.Version, "part", omitted)
		}
	}
	return provenConfig{version: c.Version, valid: true}
}

// configChanged updates the version metric and notifies some of the other daemons.
func (s *Sidecar) configChanged(_, now *route.Config) {
	s.meters.version.Set(float64(now.Version))
	s.wakeQuotas()
	s.notifyOthers()
}

// fetchConfig reads the configuration from another daemon.
func (s *Sidecar) fetchConfig(ctx context.Context, address string) error {
	r, err := s.getFromPeer(ctx, address, callConfig)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigBytes))
	if err = errors.CombineErrors(err, r.Close()); err != nil {
		return err
	}
	s.offerConfig(raw, address)
	return nil
}

// jittered returns a random duration from 0.5 to 1.5 times d, so that daemons that
// started together do not make their calls together.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// randomUpTo returns a random duration from 0 to d.
func randomUpTo(d time.Duration) time.Duration { return rand.N(d + 1) }
