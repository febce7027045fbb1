package sidecar

import (
	"context"
	"sync"
	"time"

	"pollenscale/core/store"
)

// rewriteTime is how long the daemons take to learn that the store has come back from an
// older copy and to write their records again, in addition to the time over which they
// spread their writes.
const rewriteTime = 2 * time.Second

// storeEra is the latest era of the store that the daemon has learned of. It is created
// by newStoreEra.
type storeEra struct {
	mu    sync.Mutex
	known bool
	era   store.Era
	// over is done when the era has ended.
	over context.Context
	end  context.CancelFunc
}

func newStoreEra() *storeEra {
	e := &storeEra{}
	e.over, e.end = context.WithCancel(context.Background())
	return e
}

// value returns the era, 0 if it is not known.
func (e *storeEra) value() store.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// observe records an era and reports whether it is higher than the one known before.
func (e *storeEra) observe(era store.Era) (risen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	risen = e.known && era > e.era
	e.known, e.era = true, max(e.era, era)
	if risen {
		e.end()
		e.over, e.end = context.WithCancel(context.Background())
	}
	return risen
}

// within returns a context that ends with the current era.
func (e *storeEra) within(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	over := e.over
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(over, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// eraOf returns the era in a response, or the one known if the response states none.
func (s *Sidecar) eraOf(stated store.Era) store.Era {
	if stated == 0 {
		return s.storeEra.value()
	}
	return stated
}

// observeEra evaluates the era in a response of the store or in a message of another
// daemon. When it rises, what the store has acknowledged before may be lost: the daemon
// writes its record again, and stops waiting for changes after a version of the earlier
// era.
func (s *Sidecar) observeEra(era store.Era) {
	if expireWithEra.Off() || !s.storeEra.observe(era) {
		return
	}
	s.log.Warn("daemon: the store came back from an older copy.", "era", era, "version", s.config.Version())
	s.rewriteRecord()
}

// rewriteRecord writes the own record again if the store may have lost it. All daemons do
// so, and spread their writes over a time that the store can bear. A daemon whose target
// leaves writes immediately: an acknowledged drain depends on the record.
func (s *Sidecar) rewriteRecord() {
	view := s.localTarget.View()
	if view.ID != "" && !view.State.TakesWork() {
		s.wakePublisher()
		return
	}
	time.AfterFunc(randomUpTo(s.rewriteSpread()), func() {
		if s.publisher.writtenEra() < s.storeEra.value() {
			s.wakePublisher()
		}
	})
}

// rewriteCalls is the number of calls that a daemon needs to write its record again: the
// first one fails if the copy has another version of the row.
const rewriteCalls = 2

// rewriteSpread returns the time over which the daemons spread their writes.
func (s *Sidecar) rewriteSpread() time.Duration {
	return s.settings.Load().StoreLimits.Writes.Spread(rewriteCalls * s.roster.Len())
}

// rereadDelay returns how long after it has learned that the store has come back from an
// older copy a daemon reads the records of the others again.
func (s *Sidecar) rereadDelay() time.Duration {
	members := s.roster.Len()
	pages := members/listPageSize + 1
	reads := s.settings.Load().StoreLimits.Reads.Spread(members * pages)
	return jittered(rewriteTime) + s.rewriteSpread() + randomUpTo(reads)
}
