package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDeterministic guards against figures that depend on anything but the seed.
func TestDeterministic(t *testing.T) {
	for _, run := range []func() []Result{
		func() []Result { return measureRegions(regionPolicies()[4], 7) },
		func() []Result { return measureFlood(admissions()[4], 0, 7) },
		func() []Result { return measureChain(chainPolicies()[3], 7) },
	} {
		is.New(t).Equal(run(), run())
	}
}

// TestStretch guards against work that a slow period stretches wrongly at its ends.
func TestStretch(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	target := &target{loop: newLoop(), slow: []slowdown{{10 * ms, 20 * ms}, {40 * ms, 50 * ms}}}
	is.Equal(target.duration(10*ms), 10*ms)
	is.Equal(target.duration(12*ms), 14*ms)
	is.Equal(target.duration(15*ms), 20*ms)
	is.Equal(target.duration(40*ms), 50*ms)
	target.loop.run(15 * ms)
	is.Equal(target.duration(5*ms), 7500*time.Microsecond)
	is.True(target.slowed())
}
