package load_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenscale/standin/load"

	"github.com/matryer/is"
)

// system stands in for daemons and a target.
type system struct {
	behaviour string
	start     time.Time
	mu        sync.Mutex
	runs      []load.Run
	keys      map[string]bool
	previous  string
}

func (s *system) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.runs)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	nonce, key := r.Header.Get("Nonce"), r.Header.Get("Idempotency-Key")
	if s.behaviour == "Pauses" {
		// Answers nothing until 400 ms after the start, and then all at once.
		time.Sleep(time.Until(s.start.Add(400 * time.Millisecond)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.behaviour != "Refuses" && (key == "" || s.behaviour == "RunsTwice" || !s.keys[key])
	s.keys[key] = true
	if run {
		s.runs = append(s.runs, load.Run{Nonce: nonce, Key: key, Method: r.Method, Path: r.URL.Path, Status: 200})
	}
	if s.behaviour == "Refuses" || s.behaviour == "Lies" {
		w.Header().Set("Pollenscale-Outcome", "NotRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answered := nonce
	if s.behaviour == "Swaps" {
		answered, s.previous = s.previous, nonce
	}
	w.Header().Set("Nonce", answered)
	if s.behaviour == "CutsOff" {
		w.Header().Set("Content-Length", "100")
	}
	_, _ = io.WriteString(w, "answer")
}

// TestSystems guards against a load that passes a system which breaks a
// promise, or blames one that does not.
func TestSystems(t *testing.T) {
	data, err := os.ReadFile("testdata/systems.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name, Behaviour, WantViolation    string
		MinAnswered                       float64
		WantNotRun, WantUnknown, WantLate bool
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := &system{behaviour: c.Behaviour, start: time.Now(), keys: map[string]bool{}}
			server := httptest.NewServer(s)
			defer server.Close()
			l := &load.Load{
				Daemons: []string{server.URL, server.URL}, RunLogs: []string{server.URL + "/runs"},
				Kinds: load.Puente(), Rate: 300, Duration: 500 * time.Millisecond, RepeatShare: 0.5, Seed: 1, MinAnswered: c.MinAnswered,
			}
			result, err := l.Run(t.Context())
			is.NoErr(err)
			is.Equal(result.OK(), c.WantViolation == "")
			is.True(strings.Contains(strings.Join(result.Violations, "\n"), c.WantViolation))
			is.Equal(len(result.Ranks), 4)
			is.True(result.Runs > 100 == !c.WantNotRun)
			for _, r := range result.Ranks {
				is.Equal(r.Sent, r.Answered+r.NotRun+r.Unknown)
				is.Equal(r.NotRun > 0, c.WantNotRun || c.Behaviour == "Lies")
				is.Equal(r.Unknown > 0, c.WantUnknown)
				if r.Rank == "lookup" {
					is.Equal(r.Answered > r.InTime, c.WantLate)
					is.Equal(r.P99Ms > 200, c.WantLate)
				}
			}
		})
	}
}
