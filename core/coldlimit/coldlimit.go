// Package coldlimit decides when the next request may be sent to a target that is cold or
// may have become cold.
//
// A cold target takes few requests and crashes if it gets more in any second. It states its
// coldness in heartbeats and in responses to health probes, and may become cold between two
// statements. Requests that were sent after the latest proof that the target was warm, which is
// the moment at which an answered probe was sent, therefore count as if the target had been cold
// since then. A target that is used much is probed after a number of requests, so that its
// requests do not have to wait for a proof.
package coldlimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"pollenscale/internal/mutant"
)

const (
	// window is the time in which no more requests than the bound are sent. It is longer than
	// the second of the bound, because the requests may arrive at different delays.
	window = 1250 * time.Millisecond
	// boundShare is the share of the bound that is used.
	boundShare = 0.9
	// burstShare is the share of a second's requests that a cold target gets at once after a
	// pause.
	burstShare = 1.0 / 3
	// arrivalMargin is the time that a request may take to arrive at the target. Requests that
	// were sent in the last moments before a proof may have arrived after it.
	arrivalMargin = 30 * time.Millisecond
	// earlierProcess is the time in which requests of an earlier process of the daemon may still
	// count.
	earlierProcess = time.Second
	// proofWait is the expected time until a probe is answered.
	proofWait = 5 * time.Millisecond
	// proofLost is the age of the latest proof from which none is expected soon.
	proofLost = 500 * time.Millisecond
	// busyInterval and idleInterval are the times after which a target that gets requests or
	// is cold, and one that gets none, is probed. urgentInterval applies while requests may soon
	// have to wait for a proof.
	busyInterval   = 300 * time.Millisecond
	idleInterval   = 900 * time.Millisecond
	urgentInterval = 20 * time.Millisecond
)

// Mechanisms that mutation tests switch off one at a time.
var (
	limitCold     = mutant.New("coldlimit/cold")
	limitUnproven = mutant.New("coldlimit/unproven")
	awaitEarlier  = mutant.New("coldlimit/earlier-process")
)

// Limits are what a cold target takes.
type Limits struct {
	// PerSecond is the number of requests per second that it takes, 0 for no limit.
	PerSecond float64
	// Over and Slack bound the requests in any second: PerSecond times Over, plus Slack.
	Over, Slack float64
	// Probes is set if the target can be probed. Otherwise requests are limited only while the
	// target is known to be cold.
	Probes bool
}

// most returns the number of requests that may be sent in a window.
func (l Limits) most() int {
	return max(1, int(boundShare*(l.PerSecond*l.Over+l.Slack)))
}

// burst returns the number of requests that may be sent at once after a pause.
func (l Limits) burst() float64 {
	return max(1, min(burstShare*l.PerSecond, l.Slack/2))
}

// Limit limits the requests to one target. It is safe for concurrent use. Create it with New.
type Limit struct {
	mu     sync.Mutex
	limits Limits
	// until is when the stated coldness ends, statedAt when it was stated last.
	until, statedAt time.Time
	// warmAt is the latest moment at which the target was proved to be warm, zero if it has not
	// been since it started.
	warmAt time.Time
	// free is when requests of an earlier process of the daemon no longer count.
	free time.Time
	// sent holds the requests of the last window that are not proved to have arrived at a warm
	// target, the oldest first.
	sent     []time.Time
	tokens   float64 // at updated, while cold
	updated  time.Time
	probedAt time.Time
	// used is set if requests were sent since probedAt.
	used bool
}

// New returns a limit for a process of the daemon that starts at now.
func New(now time.Time) *Limit { return &Limit{free: now.Add(earlierProcess)} }

// SetLimits sets the limits.
func (l *Limit) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Limited reports whether there is a limit at all.
func (l *Limit) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.PerSecond > 0
}

// Reset forgets the statements of an earlier incarnation of the target. Its requests count on:
// the last ones may have arrived at the new incarnation.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.statedAt, l.warmAt, l.probedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

// StateCold records a heartbeat that states coldness until a time. A heartbeat that states none
// is no proof: it may have been sent long before it was read.
func (l *Limit) StateCold(until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateCold(until, now)
}

func (l *Limit) stateCold(until, now time.Time) {
	if !until.After(now) {
		return
	}
	if !l.cold(now) {
		l.become(now)
	}
	l.statedAt = now
	if until.After(l.until) {
		l.until = until
	}
}

// become begins to count the tokens of a target that has become cold. The requests that may
// have arrived since then count against them, those of more than a second not at all.
func (l *Limit) become(now time.Time) {
	l.prune(now)
	l.updated = now
	l.tokens = max(l.limits.burst()-float64(len(l.sent)), -l.limits.PerSecond)
}

// ProbeSent records that a probe is sent.
func (l *Limit) ProbeSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probedAt, l.used = now, false
}

// ProbeAnswered records the response to a probe that was sent at a time: how long the target
// stays cold, nil if it does not state that. The latter does not end a coldness that a heartbeat
// has stated.
func (l *Limit) ProbeAnswered(sent, now time.Time, left *time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left != nil && *left > 0 {
		until, before := now.Add(*left), l.statedAt
		l.stateCold(until, now)
		if sent.After(before) {
			l.until = until
		}
		return
	}
	if left != nil && sent.After(l.statedAt) {
		l.until = time.Time{}
	}
	if l.cold(now) {
		return
	}
	if sent.After(l.warmAt) {
		l.warmAt = sent
	}
	l.prune(now)
}

// Cold reports whether the target is known to be cold.
func (l *Limit) Cold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold(now)
}

func (l *Limit) cold(now time.Time) bool { return l.limits.PerSecond > 0 && now.Before(l.until) }

// ProbeDue reports whether the target has to be probed.
func (l *Limit) ProbeDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.PerSecond <= 0 || !l.limits.Probes {
		return false
	}
	l.prune(now)
	interval := idleInterval
	switch {
	case !l.cold(now) && len(l.sent) >= l.limits.most()/2:
		interval = urgentInterval
	case l.cold(now) || l.used:
		interval = busyInterval
	}
	return now.Sub(l.probedAt) >= interval
}

// Available returns the number of requests that may be sent now.
func (l *Limit) Available(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.available(now)
}

func (l *Limit) available(now time.Time) int {
	if l.limits.PerSecond <= 0 || limitCold.Off() {
		return math.MaxInt
	}
	l.prune(now)
	n := l.limits.most() - len(l.sent)
	if l.cold(now) {
		l.refill(now)
		n = min(n, int(l.tokens))
	} else if !l.limits.Probes || limitUnproven.Off() {
		return math.MaxInt
	}
	if l.held(now) {
		n = 0
	}
	return max(0, n)
}

// held reports whether requests of an earlier process may still count.
func (l *Limit) held(now time.Time) bool {
	return now.Before(l.free) && (l.warmAt.IsZero() || l.cold(now)) && !awaitEarlier.Off()
}

// Take counts a request that is sent to the target.
func (l *Limit) Take(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(now)
}

// TakeAvailable counts a request if it may be sent now, and reports whether it may. Of several that
// wait for the same moment, only as many get it as the target takes.
func (l *Limit) TakeAvailable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.available(now) <= 0 {
		return false
	}
	l.take(now)
	return true
}

func (l *Limit) take(now time.Time) {
	l.used = true
	if l.limits.PerSecond <= 0 {
		return
	}
	l.prune(now)
	if !limitUnproven.Off() || l.cold(now) {
		l.sent = append(l.sent, now)
	}
	if l.cold(now) {
		l.refill(now)
		l.tokens--
	}
}

// Return gives back a request that was counted at a time but not sent. One that no longer counts
// changes nothing: the others were sent.
func (l *Limit) Return(taken time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.IndexFunc(l.sent, taken.Equal); i >= 0 {
		l.sent = slices.Delete(l.sent, i, i+1)
		l.tokens++
	}
}

// Wait returns the expected time until the n-th of the next requests may be sent.
func (l *Limit) Wait(n float64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.PerSecond <= 0 {
		return 0
	}
	l.prune(now)
	wait := time.Duration(0)
	if l.held(now) {
		wait = l.free.Sub(now)
	}
	if l.cold(now) {
		l.refill(now)
		missing := min(max(0, n-l.tokens), l.limits.PerSecond*maxWait.Seconds())
		return max(wait, l.windowWait(1, now), time.Duration(missing/l.limits.PerSecond*float64(time.Second)))
	}
	switch over := n - float64(l.limits.most()-len(l.sent)); {
	case !l.limits.Probes:
		return 0
	case over <= 0:
		return wait
	case now.Sub(l.warmAt) < proofLost:
		return max(wait, proofWait)
	default:
		return max(wait, l.windowWait(n, now))
	}
}

// maxWait bounds the expected wait at a low rate.
const maxWait = time.Minute

// windowWait returns the time until n more requests fit into the window.
func (l *Limit) windowWait(n float64, now time.Time) time.Duration {
	most := l.limits.most()
	over := len(l.sent) + int(math.Ceil(n)) - most
	if over <= 0 {
		return 0
	}
	windows := (over - 1) / most
	at := (over - 1) % most
	if at >= len(l.sent) {
		return min(maxWait, time.Duration(windows+1)*window)
	}
	return min(maxWait, time.Duration(windows)*window+max(0, l.sent[at].Add(window).Sub(now)))
}

// Concurrency returns how many of the slots are in use if requests of a mean service time start
// at the rate of a cold target.
func (l *Limit) Concurrency(slots int, serviceTime time.Duration, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) {
		return slots
	}
	used := l.limits.PerSecond * serviceTime.Seconds()
	return min(slots, max(1, int(math.Ceil(min(used, float64(slots))))))
}

// prune forgets the requests that are older than the window or arrived at a warm target.
func (l *Limit) prune(now time.Time) {
	from := now.Add(-window)
	if proved := l.warmAt.Add(-arrivalMargin); !l.warmAt.IsZero() && proved.After(from) {
		from = proved
	}
	n := 0
	for n < len(l.sent) && !l.sent[n].After(from) {
		n++
	}
	l.sent = l.sent[n:]
}

// refill adds the tokens since the last call.
func (l *Limit) refill(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.tokens = min(l.tokens+l.limits.PerSecond*elapsed.Seconds(), l.limits.burst())
		l.updated = now
	}
}
