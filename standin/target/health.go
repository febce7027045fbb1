package target

import (
	"net/http"
	"strings"
	"time"

	"pollenscale/core/fleet"
	iotarget "pollenscale/io/target"
)

// keptReports bounds the health reports that are kept for lagging.
const keptReports = 1000

// serveHealth reports the health, as old or as false as the behaviour asks.
func (t *Target) serveHealth(w http.ResponseWriter) {
	b := t.current()
	if b.HealthDown {
		http.Error(w, "health endpoint is down", http.StatusInternalServerError)
		return
	}
	h := t.lagging(t.truth(b), milliseconds(b.HealthLagMilliseconds))
	if b.HealthState != "" {
		h.State = b.HealthState
	}
	if b.HealthRunning != nil {
		h.Running = *b.HealthRunning
	}
	t.writeJSON(w, h)
}

func (t *Target) truth(b Behaviour) iotarget.Health {
	h := iotarget.Health{
		State:    fleet.Serving,
		Instance: t.instance,
		Slots:    fleet.Slots(cap(t.slots)),
		Running:  uint32(len(t.slots)),
	}
	if time.Since(t.started) < milliseconds(b.ColdMilliseconds) {
		h.State = fleet.Cold
	}
	if b.Draining {
		h.State = fleet.Draining
		if h.Running == 0 {
			h.State = fleet.Leaving
		}
	}
	return h
}

// lagging returns the latest report that is at least lag old, or the first one.
func (t *Target) lagging(now iotarget.Health, lag time.Duration) iotarget.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.reports) >= keptReports {
		t.reports = append(t.reports[:0], t.reports[keptReports/2:]...)
	}
	t.reports = append(t.reports, report{at: time.Now(), health: now})
	if lag <= 0 {
		return now
	}
	h := t.reports[0].health
	for _, r := range t.reports {
		if time.Since(r.at) >= lag {
			h = r.health
		}
	}
	return h
}

func newText(s string) *strings.Reader {
	return strings.NewReader(s)
}

// zeros reads as an endless sequence of the character 0.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}
