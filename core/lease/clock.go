package lease

import "time"

// Reading is one reading of both clocks of a process. The two are kept apart
// because either can fail: the wall clock is stepped, and some hypervisors stop
// the monotonic clock while a VM is paused.
type Reading struct {
	Monotonic time.Duration
	Wall      time.Time
}

var processStart = time.Now()

// ReadClock reads the clocks of this process.
func ReadClock() Reading {
	now := time.Now()
	return Reading{Monotonic: now.Sub(processStart), Wall: now.Round(0)}
}

// Since returns the larger of the monotonic and the wall clock time since the
// earlier reading. A clock step can only make it too large.
func (r Reading) Since(earlier Reading) time.Duration {
	if useWallClock.Off() {
		return max(r.Monotonic-earlier.Monotonic, 0)
	}
	return max(r.Monotonic-earlier.Monotonic, r.Wall.Sub(earlier.Wall), 0)
}

// sample bounds the store's clock: it showed store at some moment between the
// readings before and after.
type sample struct {
	store  time.Time
	before Reading
	after  Reading
}

// latest returns the latest time that the store's clock can show at r.
func (s sample) latest(r Reading) time.Time {
	return s.store.Add(r.Since(s.before))
}

// earliest returns the earliest time that the store's clock can show at r.
func (s sample) earliest(r Reading) time.Time {
	return s.store.Add(max(r.Monotonic-s.after.Monotonic, 0))
}
