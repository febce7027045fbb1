package lease

import "time"

// Reading is one reading of the monotonic and the wall clock of a process. They
// are kept separate because either can be wrong: the wall clock may be stepped,
// and some hypervisors stop the monotonic clock while a VM is paused.
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

// Since returns the time elapsed since the earlier reading: the larger of the
// monotonic and the wall clock difference. A clock step can only make the result
// too large, never too small.
func (r Reading) Since(earlier Reading) time.Duration {
	if useWallClock.Off() {
		return max(r.Monotonic-earlier.Monotonic, 0)
	}
	return max(r.Monotonic-earlier.Monotonic, r.Wall.Sub(earlier.Wall), 0)
}

// clockSample bounds the store's clock. The store's clock showed store at some
// moment between the local readings before and after, taken around the call.
type clockSample struct {
	store  time.Time
	before Reading
	after  Reading
}

// latest returns an upper bound of the store's clock at r.
func (s clockSample) latest(r Reading) time.Time {
	return s.store.Add(r.Since(s.before))
}

// earliest returns a lower bound of the store's clock at r.
func (s clockSample) earliest(r Reading) time.Time {
	return s.store.Add(max(r.Monotonic-s.after.Monotonic, 0))
}
