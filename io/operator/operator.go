// Package operator serves the operators' HTTP endpoints on a separate port:
//
//	/metrics  metrics in the Prometheus text format
//	/healthz  200 while the process is healthy, otherwise 503 with the error
//	/readyz   200 while the daemon accepts work, otherwise 503 with the reasons
//	/status   Status in JSON
package operator

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Server limits. Requests are small, and a scrape of all metrics takes well under
// a second.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Status is the state of a daemon and of the other daemons as it sees them.
type Status struct {
	Daemon           string
	Incarnation      uint64
	ProgramVersion   string
	Region           string
	AvailabilityZone string
	Service          string
	// State is the state of the target: Cold, Serving, Draining or Leaving.
	State   string
	Slots   uint32
	Running uint32
	Queued  uint32
	// ConfigVersion is the version in force. ConfigBehind is the number of announced
	// versions that are not yet in force.
	ConfigVersion uint64
	ConfigDigest  string
	ConfigBehind  uint64
	// ConfigRefused is the number of versions that failed validation.
	ConfigRefused uint64
	StoreUp       bool
	KeySlots      []KeySlot
	Members       []Member
	// Parked lists the uploads whose outcome is unknown.
	Parked []ParkedUpload
}

// KeySlot is a slot of idempotency keys that the daemon owns.
type KeySlot struct {
	Slot      string
	Token     uint64
	ExpiresAt time.Time
}

// Member is another daemon as this one sees it.
type Member struct {
	Daemon           string
	Incarnation      uint64
	AvailabilityZone string
	Service          string
	State            string
	// Health is Alive, Suspect, Unreachable or Dead.
	Health string
	// ConfigVersion is the last version that the member announced, 0 if none.
	ConfigVersion uint64
}

// ParkedUpload is an upload that needs a decision by an operator.
type ParkedUpload struct {
	ID       string
	Service  string
	ParkedAt time.Time
	Reason   string
}

// Endpoints holds the functions behind the endpoints. Nil functions mean healthy,
// ready and an empty status.
type Endpoints struct {
	// Healthy returns an error if the process should be replaced.
	Healthy func() error
	// Ready returns the reasons why the daemon does not accept work, if any.
	Ready func() []string
	// Status returns the current status.
	Status func() Status
	// WriteMetrics writes additional metrics after those of the default set.
	WriteMetrics func(http.ResponseWriter)
}

// Handler returns the HTTP handler of all endpoints.
func (e Endpoints) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("GET /healthz", e.healthz)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET /status", e.status)
	return mux
}

// Server returns an HTTP server for the endpoints, with timeouts set. The caller
// starts it with Serve and stops it with Shutdown.
func (e Endpoints) Server() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (e Endpoints) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(w, true)
	if e.Status != nil {
		e.Status().writeMetrics(w)
	}
	if e.WriteMetrics != nil {
		e.WriteMetrics(w)
	}
}

// writeMetrics writes the metrics derived from the status.
func (s Status) writeMetrics(w io.Writer) {
	storeUp := uint64(0)
	if s.StoreUp {
		storeUp = 1
	}
	metrics.WriteGaugeUint64(w, "pollenscale_config_version", s.ConfigVersion)
	metrics.WriteGaugeUint64(w, "pollenscale_config_behind", s.ConfigBehind)
	metrics.WriteCounterUint64(w, "pollenscale_config_refused_total", s.ConfigRefused)
	metrics.WriteGaugeUint64(w, "pollenscale_store_up", storeUp)
	metrics.WriteGaugeUint64(w, "pollenscale_target_slots", uint64(s.Slots))
	metrics.WriteGaugeUint64(w, "pollenscale_target_running", uint64(s.Running))
	metrics.WriteGaugeUint64(w, "pollenscale_target_queued", uint64(s.Queued))
	metrics.WriteGaugeUint64(w, "pollenscale_uploads_parked", uint64(len(s.Parked)))
	health := map[string]uint64{"Alive": 0, "Suspect": 0, "Unreachable": 0, "Dead": 0}
	for _, m := range s.Members {
		health[m.Health]++
	}
	for _, name := range slices.Sorted(maps.Keys(health)) {
		metrics.WriteGaugeUint64(w, `pollenscale_members{health="`+name+`"}`, health[name])
	}
}

func (e Endpoints) healthz(w http.ResponseWriter, _ *http.Request) {
	if e.Healthy == nil {
		writeText(w, http.StatusOK, "ok")
		return
	}
	if err := e.Healthy(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ok")
}

func (e Endpoints) readyz(w http.ResponseWriter, _ *http.Request) {
	var reasons []string
	if e.Ready != nil {
		reasons = e.Ready()
	}
	if len(reasons) > 0 {
		writeText(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n"))
		return
	}
	writeText(w, http.StatusOK, "ok")
}

func (e Endpoints) status(w http.ResponseWriter, _ *http.Request) {
	var s Status
	if e.Status != nil {
		s = e.Status()
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s) // a write error means that the client has disconnected
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // a write error means that the client has disconnected
}
