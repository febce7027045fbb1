package budget

import (
	"container/list"
	"time"

	"pollenscale/core/fleet"
)

// state is what a connection does.
type state int

const (
	idle    state = iota // waits for a request or the rest of its head
	busy                 // has a request in progress
	writing              // waits for its client to read
	closed
)

// Conn is a connection of a client.
type Conn struct {
	account *Account
	kind    Kind
	end     func()
	state   state
	since   time.Time // of the state
	element *list.Element
	bytes   fleet.Bytes // of an incomplete head
	headAt  time.Time   // when its first bytes arrived
}

// Open records a new connection, which end closes. If there are too many of the kind, the
// longest idle one is closed, else one that makes no progress, else the new one; Open reports
// whether the new one may stay.
func (a *Account) Open(k Kind, now time.Time, end func()) (*Conn, bool) {
	a.mu.Lock()
	c := &Conn{account: a, kind: k, end: end, since: now}
	var victim func()
	if a.counts[k] >= a.limits.Descriptors[k] && !limitConnections.Off() {
		if victim = a.longestIdle(k); victim == nil {
			victim = a.stalled(now)
		}
		if victim == nil {
			c.state = closed
			a.ended++
			a.mu.Unlock()
			return c, false
		}
	}
	a.counts[k]++
	c.element = a.idle[k].PushBack(c)
	a.mu.Unlock()
	if victim != nil {
		victim()
	}
	return c, true
}

// longestIdle takes the longest idle connection of the kind out of the account and returns
// the function that closes it, nil if there is none. The caller holds the lock.
func (a *Account) longestIdle(k Kind) func() {
	e := a.idle[k].Front()
	if e == nil {
		return nil
	}
	c, ok := e.Value.(*Conn)
	if !ok {
		return nil
	}
	c.remove()
	a.ended++
	return c.end
}

// longestHead takes the connection out of the account whose head is incomplete for longest, and
// returns the function that closes it, nil if there is none. The caller holds the lock.
func (a *Account) longestHead(now time.Time) func() {
	if headsGiveWay.Off() {
		return nil
	}
	var longest *Conn
	for _, k := range []Kind{Callers, Nested, Peers} {
		for e := a.idle[k].Front(); e != nil; e = e.Next() {
			c, ok := e.Value.(*Conn)
			if ok && c.bytes > 0 && now.Sub(c.headAt) >= headStalledAfter && (longest == nil || c.headAt.Before(longest.headAt)) {
				longest = c
			}
		}
	}
	if longest == nil {
		return nil
	}
	longest.remove()
	a.ended++
	return longest.end
}

// set changes the state. The caller holds the lock.
func (c *Conn) set(s state, now time.Time) {
	a := c.account
	switch c.state {
	case idle:
		a.idle[c.kind].Remove(c.element)
	case writing:
		a.writes.Remove(c.element)
	case busy, closed:
	}
	c.state, c.since, c.element = s, now, nil
	switch s {
	case idle:
		c.element = a.idle[c.kind].PushBack(c)
	case writing:
		c.element = a.writes.PushBack(c)
	case busy, closed:
	}
}

// remove takes the connection out of the account. The caller holds the lock.
func (c *Conn) remove() {
	if c.state == closed {
		return
	}
	c.set(closed, c.since)
	c.account.counts[c.kind]--
	c.account.bytes -= c.bytes
	c.bytes = 0
}

// Close records the end of the connection.
func (c *Conn) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.remove()
}

func (c *Conn) change(from []state, to state, now time.Time) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	for _, s := range from {
		if c.state == s {
			c.set(to, now)
			return
		}
	}
}

// Begin records that a request is complete up to its body. The memory of its head is given
// back, as the request's own claim contains it.
func (c *Conn) Begin(now time.Time) {
	c.change([]state{idle}, busy, now)
	c.giveBack()
}

// End records that the request of the connection has ended.
func (c *Conn) End(now time.Time) {
	c.change([]state{idle, busy, writing}, idle, now)
	c.giveBack()
}

// giveBack gives back the memory of a head.
func (c *Conn) giveBack() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.bytes -= c.bytes
	c.bytes = 0
}

// BeginWrite records that a part of a response is being written.
func (c *Conn) BeginWrite(now time.Time) { c.change([]state{busy}, writing, now) }

// EndWrite records that a part of a response was written.
func (c *Conn) EndWrite(now time.Time) { c.change([]state{writing}, busy, now) }

// ReadHead charges bytes of a head that has not arrived completely, and reports whether there
// is memory for it. If not, the longest idle connection of the kind is closed, which may be
// this one.
func (c *Conn) ReadHead(cost fleet.Bytes, now time.Time) bool {
	a := c.account
	a.mu.Lock()
	if c.state != idle {
		a.mu.Unlock()
		return c.state != closed
	}
	var victim func()
	ok := a.reserve(cost, maxUrgencySteps)
	if !ok {
		if victim = a.stalled(now); victim == nil {
			victim = a.longestIdle(c.kind)
		}
		ok = c.state != closed && a.reserve(cost, maxUrgencySteps)
	}
	if ok {
		if c.bytes == 0 {
			c.headAt = now
		}
		c.bytes += cost
	}
	a.mu.Unlock()
	if victim != nil {
		victim()
	}
	return ok
}
