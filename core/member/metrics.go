package member

import (
	"github.com/VictoriaMetrics/metrics"
)

// Stats are statistics for metrics and status. The first three are totals since
// the start.
type Stats struct {
	// Refutations counts the reports of this daemon's suspicion or death that it
	// refuted.
	Refutations int
	// DeclaredDead counts the members that this daemon declared dead before another
	// one reported them.
	DeclaredDead int
	// Oversized counts records that exceed the size of a datagram.
	Oversized int
	// QueuedUpdates is the number of records queued for gossip.
	QueuedUpdates int
}

// Stats returns the current statistics.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Refutations: l.refutations, DeclaredDead: l.declaredDead, Oversized: l.oversized, QueuedUpdates: len(l.queued)}
}

// Register adds the metrics of the list to set.
func (l *List) Register(set *metrics.Set) {
	set.NewGauge(`pollenscale_member_refutations_total`, func() float64 { return float64(l.Stats().Refutations) })
	set.NewGauge(`pollenscale_member_verdicts_total`, func() float64 { return float64(l.Stats().DeclaredDead) })
	set.NewGauge(`pollenscale_member_oversized_total`, func() float64 { return float64(l.Stats().Oversized) })
	set.NewGauge(`pollenscale_member_news`, func() float64 { return float64(l.Stats().QueuedUpdates) })
}
