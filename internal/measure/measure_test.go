package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDeterministic guards against results that depend on anything but the seed.
func TestDeterministic(t *testing.T) {
	for _, run := range []func() []Result{
		func() []Result { return measureRegions(regionPolicies()[4], 7) },
		func() []Result { return measureFlood(admissions()[4], 0, 7) },
		func() []Result { return measureChain(chainPolicies()[3], 7) },
	} {
		is.New(t).Equal(run(), run())
	}
}

// TestStretch guards against wrong run times of work that overlaps the start or end
// of a slow period.
func TestStretch(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	target := &target{loop: newLoop(), slowPeriods: []slowPeriod{{10 * ms, 20 * ms}, {40 * ms, 50 * ms}}}
	is.Equal(target.runTime(10*ms), 10*ms)
	is.Equal(target.runTime(12*ms), 14*ms)
	is.Equal(target.runTime(15*ms), 20*ms)
	is.Equal(target.runTime(40*ms), 50*ms)
	target.loop.run(15 * ms)
	is.Equal(target.runTime(5*ms), 7500*time.Microsecond)
	is.True(target.isSlow())
}
