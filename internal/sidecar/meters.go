package sidecar

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters and histograms of the daemon.
type meters struct {
	set         *metrics.Set
	targetDials *metrics.Counter
	probes      *metrics.Counter
	version     *metrics.Gauge
	store       *dependency
}

func newMeters() meters {
	set := metrics.NewSet()
	return meters{
		set:         set,
		targetDials: set.NewCounter("pollenscale_target_connections_total"),
		probes:      set.NewCounter("pollenscale_target_probes_total"),
		version:     set.NewGauge("pollenscale_config_version", nil),
		store:       &dependency{name: "store"},
	}
}

// rejected counts requests that the entry answered without a target.
func (m meters) rejected(status int) *metrics.Counter {
	return m.set.GetOrCreateCounter(`pollenscale_requests_total{service="",status="` + strconv.Itoa(status) + `"}`)
}

// answered records the end of a request at its entry.
func (m meters) answered(q *request, status int, now time.Time) {
	label := `{service="` + string(q.service) + `",status="` + strconv.Itoa(status) + `"}`
	m.set.GetOrCreateCounter("pollenscale_requests_total" + label).Inc()
	m.set.GetOrCreateHistogram(`pollenscale_request_seconds{service="` + string(q.service) + `"}`).Update(now.Sub(q.arrivedAt).Seconds())
}

// serveMetrics writes all metrics as text.
func (s *Sidecar) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.meters.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// dependency logs when something that the daemon needs is lost or regained.
type dependency struct {
	name string
	gone atomic.Bool
}

func (d *dependency) lost(log *slog.Logger, err error) {
	if d.gone.CompareAndSwap(false, true) {
		log.Warn("daemon: dependency lost.", "dependency", d.name, "error", err)
	}
}

func (d *dependency) regained(log *slog.Logger) {
	if d.gone.CompareAndSwap(true, false) {
		log.Info("daemon: dependency regained.", "dependency", d.name)
	}
}
