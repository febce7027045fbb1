package lease

import "sync"

// TokenTracker records the highest fencing token observed for each lease. The
// zero value is ready to use. It is safe for concurrent use.
type TokenTracker struct {
	mu      sync.Mutex
	highest map[Name]Token
}

// Observe records a token and reports whether it is at least as high as every
// token observed before. A lower token belongs to an earlier holder.
func (t *TokenTracker) Observe(name Name, token Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.highest == nil {
		t.highest = map[Name]Token{}
	}
	if token < t.highest[name] {
		return false
	}
	t.highest[name] = token
	return true
}
