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
	// deliveryTimeLimit bounds a delivery at an idle target. It covers several polls of
	// the pending records and the stop of a killed daemon.
	deliveryTimeLimit = 15 * time.Second
	// pastClaimExpiry is longer than a claim of a record lasts.
	pastClaimExpiry = 31 * time.Second
)

// uploadStep is one step of a scenario with deferred uploads.
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
	// WantRuns is how often each upload must run. MayRepeat allows more runs.
	WantRuns  map[string]int
	MayRepeat bool
}

// storeConn is the connection of one daemon to the store. It is disconnected permanently
// when the daemon is killed, since a killed daemon must not write any more.
type storeConn struct {
	disconnected atomic.Bool
}

func (l *storeConn) err() error {
	if l.disconnected.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (l *storeConn) tables(to store.Tables) store.Tables {
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

func (l *storeConn) objects(to store.Objects) store.Objects {
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

// uploadRun is the state of a running scenario.
type uploadRun struct {
	fleet *testFleet
	store *memstore.Store
	// clockOffset is how far the store's clock is ahead of the real time.
	clockOffset atomic.Int64
	storeConns  map[fleet.DaemonID]*storeConn
	// statusPaths holds the status paths of the accepted uploads, by name.
	statusPaths map[string]string
}

// TestUploads guards against uploads that are accepted and then lost, that are accepted
// although they cannot be stored durably, or that run twice after the daemon that delivers
// them was killed.
func TestUploads(t *testing.T) {
	t.Parallel()
	var cases []uploadCase
	loadJSON(t, "uploads.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := &uploadRun{storeConns: map[fleet.DaemonID]*storeConn{}, statusPaths: map[string]string{}}
			r.store = memstore.New(memstore.WithNow(func() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }))
			r.fleet = startFleetWith(t, []Option{r.connectStore}, "desk", "agenda", "agenda")
			for _, step := range c.Steps {
				r.step(t, step)
			}
			for name, want := range c.WantRuns {
				runs := len(r.fleet.executions(name))
				is.New(t).True(runs == want || c.MayRepeat && runs > want) // runs of the upload
			}
		})
	}
}

// connectStore is an option that gives a daemon its own connection to the store.
func (r *uploadRun) connectStore(d *Daemon) {
	l := &storeConn{}
	r.storeConns[d.Settings.Daemon] = l
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
		r.killDuringDelivery(t, s.Name)
	case "Wait":
		time.Sleep(3 * time.Second) // several polls of the pending records
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
		r.statusPaths[s.Name] = answer.header.Get("Location")
		is.True(r.statusPaths[s.Name] != "")
	}
}

// waitStatus waits until the entry reports the wanted state of an upload.
func (r *uploadRun) waitStatus(t *testing.T, s uploadStep) {
	t.Helper()
	eventually(t, deliveryTimeLimit, func() bool {
		answer, err := r.fleet.post(t.Context(), s.Entry, http.MethodGet, r.statusPaths[s.Name], "", nil)
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

// killDuringDelivery kills the daemon that is delivering an upload, starts another in its
// place, and advances the store's clock past the expiry of the claim.
func (r *uploadRun) killDuringDelivery(t *testing.T, name string) {
	t.Helper()
	var m *node
	eventually(t, deliveryTimeLimit, func() bool {
		for _, n := range r.fleet.nodes {
			for _, ran := range n.target.Log() {
				if ran.ID == name && ran.End == "" {
					m = n
				}
			}
		}
		return m != nil
	})
	r.storeConns[m.Self.Daemon].disconnected.Store(true)
	r.fleet.restart(t, m, true)
	r.clockOffset.Add(int64(pastClaimExpiry))
}
