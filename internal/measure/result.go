package measure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Result is the value of one metric in one run.
type Result struct {
	Case   string
	Policy string
	Seed   uint64
	Metric string
	Value  float64
	Unit   string
}

// results collects the metrics of one run.
type results struct {
	caseName string
	policy   string
	seed     uint64
	list     []Result
}

func (r *results) add(metric string, value float64, unit string) {
	r.list = append(r.list, Result{r.caseName, r.policy, r.seed, metric, value, unit})
}

// sample is a set of durations. quantile sorts it in place.
type sample []time.Duration

// quantile returns a quantile in milliseconds, or NaN for an empty sample.
func (s sample) quantile(q float64) float64 {
	if len(s) == 0 {
		return math.NaN()
	}
	if !slices.IsSorted(s) {
		slices.Sort(s)
	}
	i := min(len(s)-1, int(q*float64(len(s))))
	return float64(s[i]) / float64(time.Millisecond)
}

func (r *results) addLatencies(s sample) {
	r.add("P50", s.quantile(0.50), "ms")
	r.add("P99", s.quantile(0.99), "ms")
	r.add("P999", s.quantile(0.999), "ms")
}

// spread is the median and the range of a metric over the seeds.
type spread struct{ median, least, greatest float64 }

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{math.NaN(), math.NaN(), math.NaN()}
	}
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	return spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}
