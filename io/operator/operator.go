// Package operator serves operators on a port of its own: metrics, health,
// readiness and status.
//
//	/metrics  Prometheus text format
//	/healthz  200 while the process works
//	/readyz   200 while the daemon takes work, else 503 with the reasons
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

// Limits of the port. Operators send small requests; a scrape of all metrics
// takes well under a second.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Status is what a daemon tells of itself and of the daemons that it knows.
type Status struct {
	Daemon           string
	Incarnation      uint64
	ProgramVersion   string
	Region           string
	AvailabilityZone string
	Service          string
	// State is that of the target: Cold, Serving, Draining or Leaving.
	State   string
	Slots   uint32
	Running uint32
	Queued  uint32
	// ConfigVersion is in force; ConfigBehind is the number of announced
	// versions that are not.
	ConfigVersion uint64
	ConfigDigest  string
	ConfigBehind  uint64
	// ConfigRefused counts versions that failed their checks.
	ConfigRefused uint64
	StoreUp       bool
	KeySlots      []KeySlot
	Members       []Member
	// Parked are uploads whose outcome is unknown.
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

// ParkedUpload is an upload that operators must decide about.
type ParkedUpload struct {
	ID       string
	Service  string
	ParkedAt time.Time
	Reason   string
}

// Endpoints are the functions behind the port. Nil functions mean healthy,
// ready, and an empty status.
type Endpoints struct {
	// Healthy returns an error when the process should be replaced.
	Healthy func() error
	// Ready returns the reasons for which the daemon takes no work.
	Ready func() []string
	// Status returns the present status.
	Status func() Status
	// WriteMetrics writes further metrics after those of the default set.
	WriteMetrics func(http.ResponseWriter)
}

// Handler returns the handler of all endpoints.
func (e Endpoints) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("GET /healthz", e.healthz)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET /status", e.status)
	return mux
}

// Server returns a server with time-outs for the endpoints. The caller starts
// it with Serve and ends it with Shutdown.
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

// writeMetrics writes the gauges that follow from the status.
func (s Status) writeMetrics(w io.Writer) {
	up := uint64(0)
	if s.StoreUp {
		up = 1
	}
	metrics.WriteGaugeUint64(w, "pollenscale_config_version", s.ConfigVersion)
	metrics.WriteGaugeUint64(w, "pollenscale_config_behind", s.ConfigBehind)
	metrics.WriteCounterUint64(w, "pollenscale_config_refused_total", s.ConfigRefused)
	metrics.WriteGaugeUint64(w, "pollenscale_store_up", up)
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
		reply(w, http.StatusOK, "ok")
		return
	}
	if err := e.Healthy(); err != nil {
		reply(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	reply(w, http.StatusOK, "ok")
}

func (e Endpoints) readyz(w http.ResponseWriter, _ *http.Request) {
	var reasons []string
	if e.Ready != nil {
		reasons = e.Ready()
	}
	if len(reasons) > 0 {
		reply(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n"))
		return
	}
	reply(w, http.StatusOK, "ok")
}

func (e Endpoints) status(w http.ResponseWriter, _ *http.Request) {
	var s Status
	if e.Status != nil {
		s = e.Status()
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s) // the client notices a broken connection
}

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // the client notices a broken connection
}
