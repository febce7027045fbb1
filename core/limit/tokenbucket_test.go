package limit_test

import (
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/limit"

	"github.com/matryer/is"
)

// TestRateBoundsEverySpan guards against more requests in any four seconds than the rate allows.
func TestRateBoundsEverySpan(t *testing.T) {
	const span, step, pressure = 4 * time.Second, 10 * time.Millisecond, 10
	for _, rate := range []exchange.Rate{0, 0.4, 1, 7.5, 200} {
		var b limit.TokenBucket
		start := time.Unix(1000, 0)
		b.Set(rate, start)
		var sent []time.Time
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
			if now.Sub(start) > 5*time.Second && now.Sub(start) < 6*time.Second {
				continue // idle
			}
			b.Set(rate, now)
			for n := 0; n < pressure && b.Available(now) > 0; n++ {
				b.Take(now)
				sent = append(sent, now)
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Before(first.Add(span)) {
					n++
				}
			}
			if allowed := 1.5*float64(rate)*span.Seconds() + 5; float64(n) > allowed {
				t.Errorf("rate %g: %d requests in %s, allowed %g", rate, n, span, allowed)
			}
		}
		if least := int(10 * float64(rate)); len(sent) < least {
			t.Errorf("rate %g: %d requests in 11 s, expected at least %d", rate, len(sent), least)
		}
	}
}

// TestRateLift guards against a limit that a late response lifts, or that none lifts.
func TestRateLift(t *testing.T) {
	is := is.New(t)
	var b limit.TokenBucket
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	is.True(b.Available(at(0)) > 1000)
	b.Set(2, at(100))
	is.Equal(b.Available(at(100)), 0)
	is.Equal(b.Wait(1, at(100)), 500*time.Millisecond)
	is.Equal(b.Concurrency(9, 200*time.Millisecond), 1)
	is.True(!b.Lift(at(90)))
	is.Equal(b.Available(at(601)), 1)
	b.Take(at(601))
	is.Equal(b.Available(at(601)), 0)
	b.Return()
	is.Equal(b.Available(at(601)), 1)
	is.True(b.Lift(at(110)))
	is.Equal(b.Wait(5, at(601)), time.Duration(0))
	b.Set(0, at(700))
	is.Equal(b.Wait(1, at(700)), time.Minute) // and not without end
	b.Reset()
	is.True(b.Available(at(701)) > 1000)
}
