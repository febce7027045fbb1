package client

import (
	"context"
	"testing"
	"time"

	"pollenscale/core/budget"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestAwaitAttempt guards against long bodies that take all places for attempts, and against
// attempts that are refused although a place comes free in time.
func TestAwaitAttempt(t *testing.T) {
	is := is.New(t)
	limits := budget.LimitsOf(0, 0)
	limits.Descriptors[budget.Attempts] = 2
	g := New(budget.New(limits), metrics.NewSet())
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }
	long := g.AwaitAttempt(t.Context(), in(time.Second), true)
	is.True(long != nil)
	is.True(g.AwaitAttempt(t.Context(), in(time.Second), true) == nil) // the other half
	short := g.AwaitAttempt(t.Context(), in(time.Second), false)
	is.True(short != nil)
	is.True(g.AwaitAttempt(t.Context(), in(100*time.Millisecond), false) == nil) // none comes free
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(50 * time.Millisecond)
		g.Account().Attempts.Release(short)
		return nil
	})
	is.True(g.AwaitAttempt(context.Background(), in(4*time.Second), false) != nil)
	is.NoErr(group.Wait())
}
