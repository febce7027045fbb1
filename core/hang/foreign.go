package hang

import (
	"sync"
	"time"

	"pollenscale/internal/mutant"
)

// countForeign is a mechanism that tests can switch off.
var countForeign = mutant.New("hang/count-foreign-work")

const (
	// maxHistory is the number of starts and ends that are kept. A report that covers more
	// of them is ignored.
	maxHistory = 256
	// reportLifetime is how long a report counts if no other one follows it. A target that
	// reports nothing any more must not be left without requests.
	reportLifetime = 3 * time.Second
)

// Foreign estimates the work of a target that its daemon has not under way: requests that an
// earlier process of the daemon sent, or whose connection was closed while the target goes on
// with them. It is the load that the target reports less the most requests that the daemon
// had under way while the report was made, so that it errs on the low side. The zero value
// is ready for use. It is safe for concurrent use.
type Foreign struct {
	mu         sync.Mutex
	own        int
	history    []change // the latest starts and ends, oldest first
	reported   bool
	previous   int // the estimate of the report before the latest one
	latest     int
	reportedAt time.Time
	// abandoned is the number of requests that ended without a response since the latest
	// report was requested, the last of them at abandonedAt.
	abandoned   int
	abandonedAt time.Time
}

// change is the number of own requests from a time on.
type change struct {
	at  time.Time
	own int
}

// Start records that a request is sent to the target.
func (f *Foreign) Start(now time.Time) { f.add(1, now) }

// End records that a request has ended for the daemon, whether the target has finished or
// not.
func (f *Foreign) End(now time.Time) { f.add(-1, now) }

// Abandon is like End for a request without a response, which the target may go on with. It
// counts until a report that was requested later.
func (f *Foreign) Abandon(now time.Time) {
	f.add(-1, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reported && !countForeign.Off() {
		f.abandoned++
		f.abandonedAt = now
	}
}

func (f *Foreign) add(n int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.history) == maxHistory {
		copy(f.history, f.history[1:])
		f.history = f.history[:maxHistory-1]
	}
	f.own += n
	f.history = append(f.history, change{at: now, own: f.own})
}

// Report records the requests that the target had, running and waiting, according to a
// response to a request or a probe that was sent at the given time.
func (f *Foreign) Report(requests int, sent, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, known := f.mostOwn(sent)
	if !known || countForeign.Off() {
		return
	}
	estimate := max(0, requests-own)
	if f.abandoned > 0 && !sent.After(f.abandonedAt) {
		return
	}
	if !f.reported || f.abandoned > 0 {
		// The first report has no request under way that could distort it, and one after
		// requests without a response is needed at once.
		f.latest = estimate
	}
	f.abandoned = 0
	f.previous, f.latest = f.latest, estimate
	f.reported, f.reportedAt = true, now
}

// mostOwn returns the highest number of own requests since a time. It reports false if the
// history does not reach back to it.
func (f *Foreign) mostOwn(since time.Time) (int, bool) {
	most := f.own
	for i := len(f.history) - 1; i >= 0; i-- {
		most = max(most, f.history[i].own)
		if f.history[i].at.Before(since) {
			return most, true
		}
	}
	return most, len(f.history) < maxHistory
}

// Requests returns the estimate: the lower one of the latest two reports, 0 if they are old,
// and the requests that were abandoned since.
func (f *Foreign) Requests(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.abandonedAt) > reportLifetime {
		f.abandoned = 0
	}
	if now.Sub(f.reportedAt) > reportLifetime {
		return f.abandoned
	}
	return min(f.previous, f.latest) + f.abandoned
}

// Reset forgets the reports, for another incarnation of the target.
func (f *Foreign) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported, f.previous, f.latest, f.reportedAt, f.abandoned = false, 0, 0, time.Time{}, 0
}
