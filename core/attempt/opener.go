package attempt

import (
	"sync"
	"sync/atomic"

	"pollenscale/core/fleet"
)

// Sequencer numbers the attempts of an entry daemon, per target's daemon, and
// knows the lowest that is still open at each.
type Sequencer struct {
	// Daemon and Incarnation are those of the entry.
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation

	renewed atomic.Uint64 // replaces Incarnation unless 0

	mu    sync.RWMutex
	pairs map[fleet.DaemonID]*pair
}

// pair is the numbering towards one target's daemon.
type pair struct {
	mu     sync.Mutex
	base   Sequence // number of closed[0]
	closed []bool
}

// OpenAttempt is an attempt that the entry has not closed yet.
type OpenAttempt struct {
	Ref  Ref
	pair *pair
}

// SetIncarnation replaces the incarnation of the entry, which was found to be lower than
// that of an earlier process. The numbers of attempts go on.
func (o *Sequencer) SetIncarnation(i fleet.Incarnation) { o.renewed.Store(uint64(i)) }

func renewedOr(renewed *atomic.Uint64, first fleet.Incarnation) fleet.Incarnation {
	if i := renewed.Load(); i != 0 {
		return fleet.Incarnation(i)
	}
	return first
}

// Open returns the next attempt for the target.
func (o *Sequencer) Open(target fleet.Target) OpenAttempt {
	p := o.pair(target.Daemon)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = append(p.closed, false)
	sequence := p.base + Sequence(len(p.closed)) - 1
	return OpenAttempt{pair: p, Ref: Ref{
		ID:       ID{Daemon: o.Daemon, Incarnation: renewedOr(&o.renewed, o.Incarnation), Sequence: sequence},
		Target:   target.Incarnation,
		OpenFrom: p.base,
	}}
}

// Close declares that the entry will not ask about the attempt any more.
// Closing twice has no effect.
func (o OpenAttempt) Close() {
	p := o.pair
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Ref.ID.Sequence < p.base {
		return
	}
	p.closed[o.Ref.ID.Sequence-p.base] = true
	n := 0
	for n < len(p.closed) && p.closed[n] {
		n++
	}
	p.base += Sequence(n)
	p.closed = p.closed[n:]
}

func (o *Sequencer) pair(id fleet.DaemonID) *pair {
	o.mu.RLock()
	p := o.pairs[id]
	o.mu.RUnlock()
	if p != nil {
		return p
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p = o.pairs[id]; p != nil {
		return p
	}
	if o.pairs == nil {
		o.pairs = map[fleet.DaemonID]*pair{}
	}
	p = &pair{base: 1}
	o.pairs[id] = p
	return p
}
