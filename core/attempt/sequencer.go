package attempt

import (
	"sync"
	"sync/atomic"

	"pollenscale/core/fleet"
)

// Sequencer numbers the attempts of an entry daemon, separately for each target's
// daemon, and tracks the lowest number that is still open at each.
type Sequencer struct {
	// Daemon and Incarnation are those of the entry.
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation

	override atomic.Uint64 // replaces Incarnation unless 0

	mu         sync.RWMutex
	numberings map[fleet.DaemonID]*numbering
}

// numbering holds the sequence numbers of the attempts at one target's daemon.
type numbering struct {
	mu     sync.Mutex
	base   Sequence // number of closed[0]
	closed []bool
}

// OpenAttempt is an attempt that the entry has not closed yet.
type OpenAttempt struct {
	Ref       Ref
	numbering *numbering
}

// SetIncarnation replaces the incarnation of the entry if that turned out to be
// lower than that of an earlier process. The sequence numbers continue.
func (s *Sequencer) SetIncarnation(i fleet.Incarnation) { s.override.Store(uint64(i)) }

func currentIncarnation(override *atomic.Uint64, initial fleet.Incarnation) fleet.Incarnation {
	if i := override.Load(); i != 0 {
		return fleet.Incarnation(i)
	}
	return initial
}

// Open returns a new attempt with the next sequence number for the target.
func (s *Sequencer) Open(target fleet.Target) OpenAttempt {
	n := s.numberingFor(target.Daemon)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = append(n.closed, false)
	sequence := n.base + Sequence(len(n.closed)) - 1
	return OpenAttempt{numbering: n, Ref: Ref{
		ID:       ID{Daemon: s.Daemon, Incarnation: currentIncarnation(&s.override, s.Incarnation), Sequence: sequence},
		Target:   target.Incarnation,
		OpenFrom: n.base,
	}}
}

// Close declares that the entry will not ask about the attempt any more.
// Closing twice has no effect.
func (o OpenAttempt) Close() {
	n := o.numbering
	n.mu.Lock()
	defer n.mu.Unlock()
	if o.Ref.ID.Sequence < n.base {
		return
	}
	n.closed[o.Ref.ID.Sequence-n.base] = true
	leading := 0
	for leading < len(n.closed) && n.closed[leading] {
		leading++
	}
	n.base += Sequence(leading)
	n.closed = n.closed[leading:]
}

func (s *Sequencer) numberingFor(id fleet.DaemonID) *numbering {
	s.mu.RLock()
	n := s.numberings[id]
	s.mu.RUnlock()
	if n != nil {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = s.numberings[id]; n != nil {
		return n
	}
	if s.numberings == nil {
		s.numberings = map[fleet.DaemonID]*numbering{}
	}
	n = &numbering{base: 1}
	s.numberings[id] = n
	return n
}
