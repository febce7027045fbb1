package localtarget

import "time"

// confirmationDelay is the least time between two heartbeats that confirm an incarnation.
// Heartbeats that were delayed by a partition arrive together.
const confirmationDelay = time.Second

// candidate is an incarnation that is not used until a later heartbeat confirms it.
type candidate struct {
	heartbeat Heartbeat
	// confirmAt is when a heartbeat confirms it at the earliest.
	confirmAt time.Time
}

// confirmedBy reports whether a heartbeat shows that the incarnation still runs.
func (c *candidate) confirmedBy(h Heartbeat, now time.Time) bool {
	return c.isSame(h) && h.Sequence > c.heartbeat.Sequence && !now.Before(c.confirmAt)
}

func (c *candidate) isSame(h Heartbeat) bool {
	return c.heartbeat.ID == h.ID && c.heartbeat.Born == h.Born
}

// AwaitMemory makes heartbeats wait for MemoryKnown: the target may have left, and its last
// heartbeats may arrive late. An incarnation that goes on sending heartbeats does not wait.
func (s *State) AwaitMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaiting = !awaitMemory.Off()
}

// MemoryKnown ends the wait, after Recall has been called with all that is stored, and
// applies the heartbeat that has waited.
func (s *State) MemoryKnown(now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := s.awaiting && s.candidate.heartbeat.ID != ""
	s.awaiting = false
	if !waited {
		return Unchanged
	}
	return s.applyHeartbeat(s.candidate.heartbeat, now)
}

// mayReplace reports whether the incarnation in a heartbeat may become the current one. While
// the memory is awaited, it may if an earlier heartbeat of it is confirmed. Incarnations that
// start after that have nothing that an earlier process could know.
func (s *State) mayReplace(h Heartbeat, now time.Time) bool {
	if s.awaiting && !h.Draining && !s.candidate.confirmedBy(h, now) {
		if !s.candidate.isSame(h) {
			s.candidate = candidate{heartbeat: h, confirmAt: now.Add(confirmationDelay)}
		}
		return false
	}
	s.awaiting = false
	return true
}
