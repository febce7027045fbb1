// Package budget keeps the account of the memory and the descriptors that clients occupy in
// one process, and decides who gives way when one of them runs out.
//
// Connections that make no progress give way first: idle ones, then the request bodies and the
// response readers that have stalled longest. If there are none, the newcomer is refused; the
// last part of the memory is left to more urgent requests. A request that may be at a target
// never gives way.
//
// The caller passes the time. The functions that end a connection are called without the lock.
package budget

import (
	"container/list"
	"sync"
	"time"

	"pollenscale/core/fairqueue"
	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	chargeMemory     = mutant.New("budget/charge-memory")
	limitConnections = mutant.New("budget/limit-connections")
	stalledGiveWay   = mutant.New("budget/stalled-give-way")
	headsGiveWay     = mutant.New("budget/heads-give-way")
	shortBodiesFirst = mutant.New("budget/short-bodies-first")
)

// Kind is what a descriptor is used for. Each kind has a limit of its own, so that clients on
// one interface do not make another one unusable.
type Kind string

// The kinds of descriptors.
const (
	Callers   Kind = "callers"   // connections of clients
	Nested    Kind = "nested"    // connections of the target beside the daemon, for its calls
	Peers     Kind = "peers"     // connections of other daemons
	Ready     Kind = "ready"     // connections of readiness checks
	Control   Kind = "control"   // connections of the target's heartbeats
	Metrics   Kind = "metrics"   // connections that read metrics
	Exchanges Kind = "exchanges" // requests that may use a connection to a target or a daemon
	Attempts  Kind = "attempts"  // those of other daemons, at the daemon of the target
	Streams   Kind = "streams"   // requests whose body is passed on as it arrives
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Callers, Nested, Peers, Ready, Control, Metrics, Exchanges, Attempts, Streams}
}

const (
	// reservedDescriptors are those that the platform keeps for itself.
	reservedDescriptors = 200
	// ownDescriptors are listeners, log, event queue, connections to the store and of
	// queries. A daemon without clients has 13 to 21 open.
	ownDescriptors = 24
	// minDescriptors is the least that is assumed to be left after the reserves.
	minDescriptors = 40
	// defaultDescriptors and defaultMemory apply if the limits of the process are not known.
	defaultDescriptors = 64 << 10
	defaultMemory      = 1 << 30
	// minLocal is the smallest limit of connections to a local interface.
	minLocal = 4
	// connectionBytes is what a connection costs in a net/http server: two buffers of 4 KB,
	// the stack and the connection's own state.
	connectionBytes = 24 << 10
	// bodyStalledAfter is the time without a byte after which a body makes no progress. A
	// segment that is lost once is sent again within it.
	bodyStalledAfter = time.Second
	// headStalledAfter is the time after which an incomplete head gives way. A segment that is lost
	// once is sent again within it.
	headStalledAfter = time.Second
	// writeStalledAfter is the time of one write after which its client makes no progress.
	// At 10 Mbit/s, a third of a send buffer of 4 MB, which ends the write, takes 1.1 s.
	writeStalledAfter = 2 * time.Second
	// urgencySteps divides the memory: each step of a less urgent priority leaves one part
	// of it to the more urgent ones.
	urgencySteps = 16
	// maxUrgencySteps is the number of priorities that are distinguished.
	maxUrgencySteps = 3
	// bodySteps are the steps that the longest bodies leave to heads and to other requests.
	bodySteps = 6
	// shortBody, mediumBody and longBody are the sizes of buffers up to which bodies leave fewer
	// steps.
	shortBody  fleet.Bytes = 16 << 10
	mediumBody fleet.Bytes = 64 << 10
	longBody   fleet.Bytes = 256 << 10
)

// Limits are what the account allows.
type Limits struct {
	// Bytes is the memory for requests.
	Bytes fleet.Bytes
	// Descriptors are the limits of the kinds.
	Descriptors map[Kind]int
}

// LimitsOf derives the limits of the account from those of the process, 0 if not known. A
// quarter of the memory is for requests and a sixth for connections: the garbage collector
// lets the heap grow to 1.5 times of what is in use, and the rest is the program and what
// it keeps about the other daemons.
func LimitsOf(memory fleet.Bytes, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	free := max(minDescriptors, descriptors-reservedDescriptors-ownDescriptors)
	inMemory := int(memory / 6 / connectionBytes)
	exchanges := max(1, free/10)
	local := max(minLocal, min(free/20, inMemory/24))
	return Limits{Bytes: memory / 4, Descriptors: map[Kind]int{
		Callers: min(free/4, inMemory*5/8), Nested: min(free/8, inMemory/4), Peers: min(free*3/16, inMemory/2), Ready: local, Control: local, Metrics: local,
		// Twice as many connections may be open: idle ones are kept for each address.
		Exchanges: exchanges, Attempts: max(1, free/20),
		// Bodies that stall at a target leave the other half to short requests.
		Streams: max(1, exchanges/2),
	}}
}

// Account is the account of a process. It is safe for concurrent use.
type Account struct {
	// Exchanges and Attempts are the descriptors of requests. Those of other daemons are apart, so
	// that clients at one daemon do not keep out those of another one.
	Exchanges, Attempts *fairqueue.Queue

	mu     sync.Mutex
	limits Limits
	bytes  fleet.Bytes
	counts map[Kind]int
	idle   map[Kind]*list.List // *Conn, longest idle first
	bodies list.List           // *Claim, longest without progress first
	writes list.List           // *Conn, longest without progress first
	ended  int                 // that were made to give way
}

// New returns an account with the limits.
func New(limits Limits) *Account {
	a := &Account{
		limits: limits, counts: map[Kind]int{}, idle: map[Kind]*list.List{},
		Exchanges: fairqueue.New(limits.Descriptors[Exchanges]), Attempts: fairqueue.New(limits.Descriptors[Attempts]),
	}
	for _, k := range Kinds() {
		a.idle[k] = list.New()
	}
	return a
}

// Usage is what is in use.
type Usage struct {
	Bytes       fleet.Bytes
	Descriptors map[Kind]int
	Ended       int // connections and bodies that were made to give way
}

// Usage returns what is in use.
func (a *Account) Usage() Usage {
	exchanges, attempts := a.Exchanges.InUse(), a.Attempts.InUse()
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Usage{Bytes: a.bytes, Descriptors: map[Kind]int{}, Ended: a.ended}
	for k, n := range a.counts {
		u.Descriptors[k] = n
	}
	u.Descriptors[Exchanges], u.Descriptors[Attempts] = exchanges, attempts
	return u
}

// Limits returns the limits.
func (a *Account) Limits() Limits { return a.limits }

// TakeStream takes a place for a request whose body is passed on as it arrives, and reports whether
// there is one. The caller gives it back with GiveStream. If there is none, the response whose
// client has not read for longest is broken off, which makes room for later ones.
func (a *Account) TakeStream(now time.Time) bool {
	a.mu.Lock()
	if a.counts[Streams] < a.limits.Descriptors[Streams] || limitConnections.Off() {
		a.counts[Streams]++
		a.mu.Unlock()
		return true
	}
	victim := a.unread(now)
	a.mu.Unlock()
	if victim != nil {
		victim()
	}
	return false
}

// GiveStream gives a place back.
func (a *Account) GiveStream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[Streams]--
}

// reserve takes memory unless less than the steps would be left. The caller holds the lock.
func (a *Account) reserve(n fleet.Bytes, steps int) bool {
	if a.bytes+n > a.limits.Bytes-a.limits.Bytes/urgencySteps*fleet.Bytes(steps) && !chargeMemory.Off() {
		return false
	}
	a.bytes += n
	return true
}

// stalled takes the longest stalled body or response out of the account and returns the
// function that ends it, nil if there is none. The caller holds the lock.
func (a *Account) stalled(now time.Time) func() {
	if stalledGiveWay.Off() {
		return nil
	}
	if e := a.bodies.Front(); e != nil {
		if c, ok := e.Value.(*Claim); ok && now.Sub(c.progress) >= bodyStalledAfter {
			c.leave()
			a.bytes -= c.bytes
			c.bytes, c.ended = 0, true
			a.ended++
			return c.giveWay
		}
	}
	return a.unread(now)
}

// unread takes the response that has not been read for longest out of the account and returns the
// function that ends it, nil if there is none. The caller holds the lock.
func (a *Account) unread(now time.Time) func() {
	if stalledGiveWay.Off() {
		return nil
	}
	if e := a.writes.Front(); e != nil {
		if c, ok := e.Value.(*Conn); ok && now.Sub(c.since) >= writeStalledAfter {
			c.remove()
			a.ended++
			return c.end
		}
	}
	return nil
}
