package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// maxViolations bounds the violations that are listed; all are counted.
const maxViolations = 20

// Result is what a load found.
type Result struct {
	Ranks []RankResult
	// Runs are the requests in the run logs.
	Runs int
	// Dropped are arrivals that the load itself could not send.
	Dropped int
	// Violations are promises that the system broke; ViolationCount counts also
	// those not listed.
	Violations     []string
	ViolationCount int
	// Unread are run logs that could not be read at the end.
	Unread []string
}

// RankResult are the counts of one rank. Latencies are those of answered
// requests, from their arrival time.
type RankResult struct {
	Rank     fleet.Rank
	Sent     int
	Answered int
	InTime   int
	NotRun   int
	Unknown  int
	P50Ms    float64
	P99Ms    float64
	P999Ms   float64
}

// OK reports whether no promise was broken and the load is valid.
func (r *Result) OK() bool {
	return r.ViolationCount == 0 && r.Dropped == 0 && len(r.Unread) == 0
}

// Print writes the table by rank and the violations.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "rank\tsent\tin time\tlate\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\t") // reported by Flush
	for _, k := range r.Ranks {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			k.Rank, k.Sent, k.InTime, k.Answered-k.InTime, k.NotRun, k.Unknown, k.P50Ms, k.P99Ms, k.P999Ms)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d runs in the run logs, %d violations, %d arrivals not sent\n", r.Runs, r.ViolationCount, r.Dropped)
	for _, v := range append(slices.Clone(r.Violations), r.Unread...) {
		_, err = fmt.Fprintln(w, "  "+v)
	}
	return err
}

func (l *Load) violate(format string, args ...any) {
	l.result.ViolationCount++
	if len(l.result.Violations) < maxViolations {
		l.result.Violations = append(l.result.Violations, fmt.Sprintf(format, args...))
	}
}

// finish compares the run logs with what callers were told.
func (l *Load) finish(runs []Run, unread []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Runs = len(runs)
	for _, err := range unread {
		l.result.Unread = append(l.result.Unread, err.Error())
	}
	times := map[string]int{}
	for _, run := range runs {
		times[run.Nonce]++
	}
	for nonce, n := range times {
		r, ok := l.sent[nonce]
		if !ok {
			continue // sent by another load
		}
		if r.kind.Keyed && n > 1 {
			l.violate("%s %s with key %s ran %d times", r.kind.Method, r.kind.Path, r.key, n)
		}
		if !slices.ContainsFunc(r.outcomes, func(o outcome.Outcome) bool { return o != outcome.NotRun }) {
			l.violate("%s %s with nonce %s ran, and its caller was told that it did not", r.kind.Method, r.kind.Path, nonce)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.ranks)) {
		c := l.ranks[name]
		ms := func(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
		if float64(c.Answered) < l.MinAnswered*float64(c.Sent) {
			l.violate("rank %s: %d of %d requests were answered, at least %.0f%% must be", name, c.Answered, c.Sent, 100*l.MinAnswered)
		}
		c.P50Ms, c.P99Ms, c.P999Ms = ms(50), ms(99), ms(99.9)
		l.result.Ranks = append(l.result.Ranks, c.RankResult)
	}
}
