package budget

import (
	"container/list"
	"time"

	"pollenscale/core/fleet"
)

// Claim is the memory of one request. Its methods accept a nil claim, which is granted
// everything.
type Claim struct {
	account  *Account
	steps    int // of its priority
	giveWay  func()
	bytes    fleet.Bytes
	progress time.Time
	element  *list.Element // in bodies, while the body is being read
	ended    bool
}

// Claim returns the claim of a request, which has no memory yet. Lower numbers of a priority
// are more urgent.
func (a *Account) Claim(priority int) *Claim {
	return &Claim{account: a, steps: min(max(priority, 0), maxUrgencySteps)}
}

// Grow adds memory to the claim and reports whether there is some. If there is none, the body
// that has stalled longest gives way, and then the head that is incomplete for longest.
func (c *Claim) Grow(n fleet.Bytes, now time.Time) bool { return c.grow(n, 0, now) }

// GrowBody is Grow for the buffer of a body, which has grown to size with it. Long bodies leave
// more of the memory to others than short ones.
func (c *Claim) GrowBody(n, size fleet.Bytes, now time.Time) bool {
	return c.grow(n, bodyStepsOf(size), now)
}

// bodyStepsOf returns the steps that a body of a size leaves to heads, to requests without a body
// and to shorter bodies.
func bodyStepsOf(size fleet.Bytes) int {
	switch {
	case shortBodiesFirst.Off():
		return bodySteps
	case size <= shortBody:
		return 0
	case size <= mediumBody:
		return 1
	case size <= longBody:
		return bodySteps / 2
	}
	return bodySteps
}

// GrowFree is Grow for memory that the request can do without: nothing gives way to it. It calls no
// function that ends a connection, so that the caller may hold the lock of one.
func (c *Claim) GrowFree(n fleet.Bytes) bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.ended || !c.account.reserve(n, c.steps) {
		return false
	}
	c.bytes += n
	return true
}

func (c *Claim) grow(n fleet.Bytes, further int, now time.Time) bool {
	if c == nil {
		return true
	}
	steps := c.steps + further
	a := c.account
	var victims []func()
	a.mu.Lock()
	ok := !c.ended && a.reserve(n, steps)
	for !ok && !c.ended {
		victim := a.stalled(now)
		if victim == nil {
			victim = a.longestHead(now)
		}
		if victim == nil {
			break
		}
		victims = append(victims, victim)
		ok = !c.ended && a.reserve(n, steps)
	}
	if ok {
		c.bytes += n
	}
	a.mu.Unlock()
	for _, v := range victims {
		v()
	}
	return ok
}

// Reading records that the body of the request is being read before anything was sent to a
// target. giveWay ends the reading when others need the memory more; it is called at most
// once.
func (c *Claim) Reading(now time.Time, giveWay func()) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.element == nil && !c.ended {
		c.progress, c.giveWay = now, giveWay
		c.element = c.account.bodies.PushBack(c)
	}
}

// Progress records that bytes of the body have arrived.
func (c *Claim) Progress(now time.Time) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.element != nil {
		c.progress = now
		c.account.bodies.MoveToBack(c.element)
	}
}

// Read records that the body is no longer being read. It reports whether the request may go
// on; it may not if its body has given way.
func (c *Claim) Read() bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.leave()
	return !c.ended
}

// leave takes the claim off the list of bodies. The caller holds the lock.
func (c *Claim) leave() {
	if c.element != nil {
		c.account.bodies.Remove(c.element)
		c.element = nil
	}
}

// Release gives the memory back. It may be called more than once.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.leave()
	c.account.bytes -= c.bytes
	c.bytes = 0
	c.ended = true
}
