package sidecar

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/retry"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the metrics of the daemon.
type meters struct {
	set                *metrics.Set
	targetDials        *metrics.Counter
	targetRequests     *metrics.Counter
	probes             *metrics.Counter
	coldRefusals       *metrics.Counter
	evacuationRefusals *metrics.Counter
	version            *metrics.Gauge
	unproved           *metrics.Counter // requests with a key rejected since the configuration may be out of date
	proofReads         *metrics.Counter // reads of the configuration that only prove it
	store              *dependency
}

func (s *Sidecar) newMeters() meters {
	set := metrics.NewSet()
	gauge := func(name string, f func() int64) {
		set.NewGauge(name, func() float64 { return float64(f()) })
	}
	gauge("pollenscale_requests_active", s.activeRequests.Load)
	gauge("pollenscale_attempts_active", s.activeAttempts.Load)
	gauge("pollenscale_members", func() int64 { return int64(s.roster.Len()) })
	gauge("pollenscale_target_slots", func() int64 { return int64(s.limit.Value()) })
	gauge("pollenscale_target_foreign_requests", s.hanging.reserved.Load)
	set.NewGauge("pollenscale_target_rate_limit", s.statedRateLimit)
	gauge("pollenscale_evacuated_zones", func() int64 { return int64(len(s.evacuations.Current().Zones)) })
	gauge("pollenscale_target_cold", func() int64 { return oneIf(s.coldTarget.published.Load()) })
	gauge("pollenscale_store_era", func() int64 { return int64(s.storeEra.value()) })
	gauge("pollenscale_log_lines_omitted_total", func() int64 { return int64(s.omittedLines()) })
	set.NewGauge("pollenscale_config_proof_age_seconds", s.proofAgeSeconds)
	return meters{
		set:                set,
		targetDials:        set.NewCounter("pollenscale_target_connections_total"),
		targetRequests:     set.NewCounter("pollenscale_target_requests_total"),
		probes:             set.NewCounter("pollenscale_target_probes_total"),
		evacuationRefusals: set.NewCounter("pollenscale_evacuation_refusals_total"),
		coldRefusals:       set.NewCounter("pollenscale_cold_refusals_total"),
		version:            set.NewGauge("pollenscale_config_version", nil),
		unproved:           set.NewCounter("pollenscale_requests_unproved_total"),
		proofReads:         set.NewCounter("pollenscale_config_proof_reads_total"),
		store:              &dependency{name: "store"},
	}
}

// oneIf returns 1 if the condition is true, otherwise 0.
func oneIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

// refused returns the counter of attempts that the daemon did not run at its target.
func (m meters) refused(reason outcome.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_refusals_total{reason="` + string(reason) + `"}`)
}

// invalid returns the counter of entries that were ignored since no daemon or target can
// have written them.
func (m meters) invalid(source string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_invalid_entries_total{source="` + source + `"}`)
}

// attempted returns the counter of attempts that the entry made with the outcome.
func (m meters) attempted(o outcome.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_attempts_total{outcome="` + string(o) + `"}`)
}

// phase records how long a request spent in one phase of its processing.
func (m meters) phase(name string, took time.Duration) {
	m.set.GetOrCreateHistogram(`pollenscale_phase_seconds{phase="` + name + `"}`).Update(took.Seconds())
}

// hanging returns the counter of attempts that count as hanging, at the target's daemon or at
// the entry.
func (m meters) hanging(at string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_hanging_total{at="` + at + `"}`)
}

// rejected returns the counter of requests that the entry rejected before choosing a
// target.
func (m meters) rejected(status int) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_requests_total{service="",status="` + strconv.Itoa(status) + `"}`)
}

// completed records the end of a request at its entry.
func (m meters) completed(q *request, status int, now time.Time) {
	label := `{service="` + string(q.service) + `",status="` + strconv.Itoa(status) + `"}`
	m.set.GetOrCreateCounter("pollenscale_requests_total" + label).Inc()
	m.set.GetOrCreateHistogram(`pollenscale_request_seconds{service="` + string(q.service) + `"}`).Update(now.Sub(q.arrivedAt).Seconds())
}

// exportRetries adds the totals of the retry budget of a service.
func (m meters) exportRetries(service fleet.Service, b *retry.FleetBudget) {
	export := func(verdict string, value func(retry.FleetCounts) uint64) {
		name := `pollenscale_retries_total{service="` + string(service) + `",verdict="` + verdict + `"}`
		m.set.GetOrCreateGauge(name, func() float64 { return float64(value(b.Counts())) })
	}
	export("granted", func(c retry.FleetCounts) uint64 { return c.Granted })
	export("refused", func(c retry.FleetCounts) uint64 { return c.Refused })
	export("returned", func(c retry.FleetCounts) uint64 { return c.Returned })
}

// serveMetrics writes all metrics in the Prometheus text format.
func (s *Sidecar) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.meters.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// dependency logs when a service that the daemon needs becomes unavailable or available
// again.
type dependency struct {
	name string
	down atomic.Bool
}

func (d *dependency) reportLost(log *slog.Logger, err error) {
	if d.down.CompareAndSwap(false, true) {
		log.Warn("daemon: dependency lost.", "dependency", d.name, "error", err)
	}
}

func (d *dependency) reportRegained(log *slog.Logger) {
	if d.down.CompareAndSwap(true, false) {
		log.Info("daemon: dependency regained.", "dependency", d.name)
	}
}
