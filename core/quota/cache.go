package quota

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
)

const (
	// aheadTime is the time for whose demand tokens are asked ahead. With 250 ms, so many
	// expired unused when demand moved between daemons every 100 ms that requests below the
	// quota were rejected.
	aheadTime = 100 * time.Millisecond
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// maxLocalDenial bounds how long a denial is applied without another question, so that a
	// raised quota is noticed.
	maxLocalDenial = time.Second
	// forgetAfter is how long after its last request an organisation is forgotten.
	forgetAfter = time.Minute
)

// Cache holds the tokens that an entry has been granted and not used yet. Use NewCache. It is
// safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	entries map[fleet.Organisation]*cached
	sweepAt Instant
}

type cached struct {
	lots []lot
	// freeAt is when the owner has a token, as it stated. It is not asked before askAt.
	freeAt, askAt Instant
	demand        float64 // requests in the last demandWindow, decaying
	updated       Instant
}

// lot is a number of tokens that expire together.
type lot struct {
	tokens  int
	expires Instant
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{entries: make(map[fleet.Organisation]*cached)} }

// Use takes a token if there is one. Otherwise denied is the time until the owner has one, as it
// stated, or 0 if the owner has to be asked.
func (c *Cache) Use(o fleet.Organisation, now Instant) (ok bool, denied time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(o, now)
	e.decay(now)
	e.demand++
	for len(e.lots) > 0 {
		first := &e.lots[0]
		if first.tokens > 0 && (now < first.expires || expireTokens.Off()) {
			first.tokens--
			return true, 0
		}
		e.lots = e.lots[1:]
	}
	if now < e.askAt {
		return false, e.freeAt.Sub(now)
	}
	return false, 0
}

// Ahead returns how many tokens to ask for beyond those that requests wait for.
func (c *Cache) Ahead(o fleet.Organisation, now Instant) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(o, now)
	e.decay(now)
	return int(e.demand * aheadTime.Seconds() / demandWindow.Seconds())
}

// Put adds tokens that were asked for at sentAt.
func (c *Cache) Put(o fleet.Organisation, tokens int, sentAt Instant) {
	if tokens <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(o, sentAt)
	e.lots = append(e.lots, lot{tokens: tokens, expires: sentAt.Add(TokenLifetime)})
	e.askAt = 0
}

// Deny records that the owner has no token for the stated time after now.
func (c *Cache) Deny(o fleet.Organisation, wait time.Duration, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(o, now)
	e.freeAt, e.askAt = now.Add(wait), now.Add(min(wait, maxLocalDenial))
}

func (c *Cache) entry(o fleet.Organisation, now Instant) *cached {
	if now >= c.sweepAt {
		for name, e := range c.entries {
			if now.Sub(e.updated) > forgetAfter {
				delete(c.entries, name)
			}
		}
		c.sweepAt = now.Add(forgetAfter)
	}
	e := c.entries[o]
	if e == nil {
		e = &cached{updated: now}
		c.entries[o] = e
	}
	return e
}

// decay lowers the measured demand by the time that has passed.
func (e *cached) decay(now Instant) {
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		e.demand *= max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
		e.updated = now
	}
}
