package member

import (
	"github.com/VictoriaMetrics/metrics"
)

// Stats are totals since the start, for metrics and status.
type Stats struct {
	// Refutations counts reports of the own death or suspicion that were refuted.
	Refutations int
	// Verdicts counts members that the own daemon was first to declare dead.
	Verdicts int
	// Oversized counts records that fit into no datagram.
	Oversized int
	// News is the number of records that wait to be passed on.
	News int
}

// Stats returns the totals since the start.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Refutations: l.refutations, Verdicts: l.verdicts, Oversized: l.oversized, News: len(l.items)}
}

// Register adds the metrics of the list to a set.
func (l *List) Register(set *metrics.Set) {
	set.NewGauge(`pollenscale_member_refutations_total`, func() float64 { return float64(l.Stats().Refutations) })
	set.NewGauge(`pollenscale_member_verdicts_total`, func() float64 { return float64(l.Stats().Verdicts) })
	set.NewGauge(`pollenscale_member_oversized_total`, func() float64 { return float64(l.Stats().Oversized) })
	set.NewGauge(`pollenscale_member_news`, func() float64 { return float64(l.Stats().News) })
}
