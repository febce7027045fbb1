package quota

import (
	"math"
	"time"
)

// Bounds limit the requests of an organisation in any window to
// (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window      time.Duration
	Over, Slack float64
}

// Terms are what a token bucket grants: tokens at a rate per second, and up to Depth at once.
type Terms struct {
	Rate, Depth float64
}

const (
	// slackShare is the share of the slack that is granted. The rest is for requests that
	// arrive late, for example from a VM that was paused between taking a token and sending.
	slackShare = 0.5
	// aheadShare is the share of the depth that must be left for tokens that are granted
	// ahead of a request.
	aheadShare = 0.5
	// minWait bounds the stated time until a token from below.
	minWait = time.Millisecond
	// maxWait bounds the stated time until a token at a rate near zero.
	maxWait = time.Minute
)

// Terms returns the largest bucket that keeps the bounds. Tokens that are used in a window were
// granted in the window or up to TokenLifetime before, so that at most
// Depth + Rate x (Window + TokenLifetime) of them are used. If the tolerance of the bounds does
// not cover the lifetime, the rate is lowered.
func (b Bounds) Terms(rate, burst float64) Terms {
	window, lifetime := b.Window.Seconds(), TokenLifetime.Seconds()
	depth := burst*(1+b.Over) + b.Slack*slackShare + (b.Over*window-lifetime)*rate
	if least := max(1, burst); depth < least {
		return Terms{Rate: rate * window / (window + lifetime), Depth: least}
	}
	return Terms{Rate: rate, Depth: depth}
}

// bucket holds the tokens of one organisation.
type bucket struct {
	level   float64
	updated Instant
	terms   Terms // of the latest request
}

// refill adds the tokens since the last call.
func (b *bucket) refill(t Terms, now Instant) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += t.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.level = min(b.level, t.Depth)
}

// take grants up to need tokens, and up to ahead more if enough are left. If it grants fewer
// than need, it returns the time until the next one.
func (b *bucket) take(t Terms, need, ahead int, now Instant) (granted int, wait time.Duration) {
	b.terms = t
	b.refill(t, now)
	granted = min(need, max(0, whole(b.level)))
	b.level -= float64(granted)
	if granted < need {
		return granted, t.wait(1 - b.level)
	}
	if spare := whole(b.level - t.Depth*aheadShare); spare > 0 {
		more := min(ahead, spare)
		b.level -= float64(more)
		granted += more
	}
	return granted, 0
}

// maxWhole is more tokens than are ever asked for at once.
const maxWhole = 1 << 30

// whole returns the number of whole tokens. The conversion of a number that an int does not hold
// would give a negative one.
func whole(tokens float64) int { return int(min(tokens, maxWhole)) }

// wait returns the time in which the missing tokens are added.
func (t Terms) wait(missing float64) time.Duration {
	if missing >= t.Rate*maxWait.Seconds() {
		return maxWait
	}
	return max(minWait, time.Duration(math.Ceil(missing/t.Rate*1e3))*time.Millisecond)
}
