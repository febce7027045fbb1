package spread

import (
	"github.com/VictoriaMetrics/metrics"
)

// Register adds the metrics of the spreader to set.
func (s *Spreader) Register(set *metrics.Set) {
	set.NewGauge(`pollenscale_config_version{kind="InForce"}`, func() float64 { return float64(s.Current().Version) })
	set.NewGauge(`pollenscale_config_version{kind="Announced"}`, func() float64 { return float64(s.Latest().Version) })
	for name, value := range map[string]func(Counts) int{
		`pollenscale_config_fetches_total{source="Peer"}`:         func(c Counts) int { return c.PeerFetches },
		`pollenscale_config_fetches_total{source="Store"}`:        func(c Counts) int { return c.StoreReads },
		`pollenscale_config_fetch_failures_total{source="Peer"}`:  func(c Counts) int { return c.PeerFailures },
		`pollenscale_config_fetch_failures_total{source="Store"}`: func(c Counts) int { return c.StoreFailures },
		`pollenscale_config_applied_total`:                        func(c Counts) int { return c.Applied },
		`pollenscale_config_digest_conflicts_total`:               func(c Counts) int { return c.DigestConflicts },
	} {
		set.NewGauge(name, func() float64 { return float64(value(s.Counts())) })
	}
}
