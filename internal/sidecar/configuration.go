package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// watchTime is how long one call waits for a new configuration. The store
	// allows 30 s.
	watchTime = 25 * time.Second
	// maxConfigBytes bounds a configuration that another daemon sends.
	maxConfigBytes = 4 << 20
)

const (
	// watchSpacing is the least time between two calls that wait for changes, so
	// that a series of configurations does not cost a call each.
	watchSpacing = 200 * time.Millisecond
	// electInterval is how often a daemon looks whether it has to watch the store.
	electInterval = 500 * time.Millisecond
	// toldNear and toldFar are the numbers of daemons that are told of a new
	// configuration at once. Each tells as many in turn.
	toldNear = 8
	toldFar  = 4
)

// watchConfig keeps the operator's configuration: a few daemons of each zone
// wait for changes at the store, the others hear from them. A daemon that knows
// no configuration reads it itself.
func (s *Sidecar) watchConfig(ctx context.Context) error {
	pause := storeRetry
	read := false
	for ctx.Err() == nil {
		if read || s.holder.Current() != nil {
			s.awaitTurn(ctx)
		}
		version, ok := s.readConfig(ctx)
		if ok {
			read, pause = true, storeRetry
		}
		for ok && s.mustWatch() && wait.For(ctx, watchSpacing) {
			version, ok = s.awaitConfig(ctx, version)
		}
		s.watching.Store(false)
		if !wait.For(ctx, jittered(pause)) {
			return nil
		}
		pause = min(2*pause, maxStoreRetry)
	}
	return nil
}

// mustWatch reports whether this daemon has to watch the store, and tells the
// others with the next greeting.
func (s *Sidecar) mustWatch() bool {
	must := s.roster.ShouldWatch(s.settings.Load().Place)
	if s.watching.Swap(must) != must {
		s.log.Info("config: watch of the store changed.", "watching", must, "version", s.holder.Version())
	}
	return must
}

// awaitTurn waits until this daemon has to watch the store.
func (s *Sidecar) awaitTurn(ctx context.Context) {
	for !s.roster.ShouldWatch(s.settings.Load().Place) && wait.For(ctx, electInterval) {
	}
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

// configChanged takes over what other parts keep of the configuration, and tells
// some of the other daemons.
func (s *Sidecar) configChanged(_, now *route.Config) {
	s.meters.version.Set(float64(now.Version))
	if s.node == nil {
		return
	}
	place := s.settings.Load().Place
	for _, address := range roster.Draw(s.roster.Neighbours(place), toldNear) {
		s.node.SendConfigVersion(address)
	}
	for _, address := range roster.Draw(s.roster.Distant(place), toldFar) {
		s.node.SendConfigVersion(address)
	}
}

// readPeerConfig reads the configuration of another daemon.
func (s *Sidecar) readPeerConfig(ctx context.Context, address string) error {
	r, err := s.call(ctx, address, callConfig)
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

// jittered returns between half of d and one and a half of it, so that daemons
// that began together do not call together.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
