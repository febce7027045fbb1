package sidecar

import (
	"sync"

	"pollenscale/core/store"
)

// storeEra is the latest era of the store that the daemon has learned of.
type storeEra struct {
	mu    sync.Mutex
	known bool
	era   store.Era
}

// value returns the era, 0 if it is not known.
func (e *storeEra) value() store.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// observe records the era in a response and reports whether it has risen since an
// earlier response.
func (e *storeEra) observe(era store.Era) (risen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	risen = e.known && era > e.era
	e.known, e.era = true, max(e.era, era)
	return risen
}

// observeEra evaluates the era in a response of the store.
func (s *Sidecar) observeEra(era store.Era) {
	if s.storeEra.observe(era) {
		s.log.Warn("daemon: the store came back from an older copy.", "era", era, "version", s.config.Version())
	}
}
