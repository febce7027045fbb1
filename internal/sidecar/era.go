package sidecar

import (
	"context"
	"sync"
	"time"

	"pollenscale/core/store"
)

// rewriteTime is how long the daemons take to write their records again after the store
// has come back from an older copy.
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
	s.wakePublisher()
}
