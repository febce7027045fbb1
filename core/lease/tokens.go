package lease

import "sync"

// TokenTracker remembers the highest token that was seen of each lease. The zero
// value is ready to use. It is safe for concurrent use.
type TokenTracker struct {
	mu   sync.Mutex
	seen map[Name]Token
}

// Observe records a token and reports whether it is at least as high as every
// token seen before. A lower token belongs to an earlier holder.
func (t *TokenTracker) Observe(name Name, token Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen == nil {
		t.seen = map[Name]Token{}
	}
	if token < t.seen[name] {
		return false
	}
	t.seen[name] = token
	return true
}
