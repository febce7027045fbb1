package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
	"pollenscale/core/upload"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
)

const (
	// deliveredWithin bounds a delivery at an idle target: several looks at the
	// pending records, and the stop of a killed daemon.
	deliveredWithin = 15 * time.Second
	// claimTime is longer than a claim of a record.
	claimTime = 31 * time.Second
)

// uploadStep is one step of a script about deferred uploads.
type uploadStep struct {
	Do                      string
	Entry                   int
	Method, Path, Name      string
	ServiceTime             string
	WantStatus              int
	WantOutcome, WantReason string
	WantState               upload.State
}

type uploadCase struct {
	Name  string
	Steps []uploadStep
	// WantRuns is how often each upload ran. MayRepeat allows more.
	WantRuns  map[string]int
	MayRepeat bool
}

// storeLink is the way of one daemon to the store. It is cut for good when the
// daemon is killed, since a dead daemon writes nothing.
type storeLink struct {
	cut atomic.Bool
}

func (l *storeLink) err() error {
	if l.cut.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (l *storeLink) tables(to store.Tables) store.Tables {
	return store.Tables{
		Transact: func(ctx context.Context, t store.Transaction) (store.Result, error) {
			if err := l.err(); err != nil {
				return store.Result{}, err
			}
			return to.Transact(ctx, t)
		},
		Read: func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
			if err := l.err(); err != nil {
				return store.Row{}, time.Time{}, err
			}
			return to.Read(ctx, table, key)
		},
		List: func(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
			if err := l.err(); err != nil {
				return nil, err
			}
			return to.List(ctx, table, prefix, after, limit)
		},
	}
}

func (l *storeLink) objects(to store.Objects) store.Objects {
	return store.Objects{
		Put: func(ctx context.Context, id string, body io.Reader) (int64, error) {
			if err := l.err(); err != nil {
				return 0, err
			}
			return to.Put(ctx, id, body)
		},
		Get: func(ctx context.Context, id string) (io.ReadCloser, error) {
			if err := l.err(); err != nil {
				return nil, err
			}
			return to.Get(ctx, id)
		},
		Delete: func(ctx context.Context, id string) error {
			if err := l.err(); err != nil {
				return err
			}
			return to.Delete(ctx, id)
		},
	}
}

// uploadRun is a script under way.
type uploadRun struct {
	fleet *testFleet
	store *memstore.Store
	// ahead is what the store's clock is ahead of the real one.
	ahead atomic.Int64
	links map[fleet.DaemonID]*storeLink
	// addresses are the status addresses of the accepted uploads.
	addresses map[string]string
}

// TestUploads guards against uploads that are accepted and lost, that are
// accepted although they cannot be made durable, or that run twice after the
// daemon that delivers them has died.
func TestUploads(t *testing.T) {
	t.Parallel()
	var cases []uploadCase
	loadJSON(t, "uploads.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := &uploadRun{links: map[fleet.DaemonID]*storeLink{}, addresses: map[string]string{}}
			r.store = memstore.New(memstore.WithNow(func() time.Time { return time.Now().Add(time.Duration(r.ahead.Load())) }))
			r.fleet = startFleetWith(t, []Option{r.link}, "desk", "agenda", "agenda")
			for _, step := range c.Steps {
				r.step(t, step)
			}
			for name, want := range c.WantRuns {
				runs := len(r.fleet.ran(name))
				is.New(t).True(runs == want || c.MayRepeat && runs > want) // runs of the upload
			}
		})
	}
}

// link gives a daemon its own way to the store.
func (r *uploadRun) link(d *Daemon) {
	l := &storeLink{}
	r.links[d.Settings.Daemon] = l
	WithStore(l.tables(r.store.Tables()), l.objects(r.store.Objects()))(d)
}

func (r *uploadRun) step(t *testing.T, s uploadStep) {
	t.Helper()
	switch s.Do {
	case "Upload":
		r.upload(t, s)
	case "Status":
		r.waitStatus(t, s)
	case "StoreDown":
		r.store.SetFaults(memstore.Faults{Down: true})
	case "StoreUp":
		r.store.SetFaults(memstore.Faults{})
	case "KillDuringDelivery":
		r.killDuring(t, s.Name)
	case "Wait":
		time.Sleep(3 * time.Second) // several looks at the pending records
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
}

func (r *uploadRun) upload(t *testing.T, s uploadStep) {
	t.Helper()
	is := is.New(t)
	answer, err := r.fleet.post(t.Context(), s.Entry, s.Method, s.Path, s.Name, map[string]string{
		"Pollenscale-Deferred": "true",
		"Standin-Id":           s.Name,
		"Standin-Service-Time": s.ServiceTime,
	})
	is.NoErr(err)
	is.Equal([]any{answer.status, answer.outcome, answer.reason}, []any{s.WantStatus, s.WantOutcome, s.WantReason})
	if answer.status == http.StatusAccepted {
		r.addresses[s.Name] = answer.header.Get("Location")
		is.True(r.addresses[s.Name] != "")
	}
}

// waitStatus waits for the state of an upload at the entry.
func (r *uploadRun) waitStatus(t *testing.T, s uploadStep) {
	t.Helper()
	eventually(t, deliveredWithin, func() bool {
		answer, err := r.fleet.post(t.Context(), s.Entry, http.MethodGet, r.addresses[s.Name], "", nil)
		var status struct {
			State   upload.State
			Outcome outcome.Outcome
		}
		if err != nil || answer.status != http.StatusOK || json.Unmarshal(answer.body, &status) != nil {
			return false
		}
		return status.State == s.WantState && (s.WantOutcome == "" || string(status.Outcome) == s.WantOutcome)
	})
}

// killDuring kills the daemon that delivers an upload, starts another in its
// place and ends the claim.
func (r *uploadRun) killDuring(t *testing.T, name string) {
	t.Helper()
	var m *node
	eventually(t, deliveredWithin, func() bool {
		for _, n := range r.fleet.nodes {
			for _, ran := range n.target.Log() {
				if ran.ID == name && ran.End == "" {
					m = n
				}
			}
		}
		return m != nil
	})
	r.links[m.Own.Daemon].cut.Store(true)
	r.fleet.restart(t, m, true)
	r.ahead.Add(int64(claimTime))
}
