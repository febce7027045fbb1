package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenscale/core/idempotency"
	"pollenscale/core/lease"
	"pollenscale/standin/memstore"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// keyStep is one step of a scenario with idempotency keys.
type keyStep struct {
	Do                      string
	Node                    int
	Path, Key               string
	Body                    string
	WantStatus              int
	WantOutcome, WantReason string
}

type keyCase struct {
	Name     string
	Steps    []keyStep
	WantRuns map[string]int
}

// keyRun is the state of a running scenario.
type keyRun struct {
	fleet *testFleet
	store *memstore.Store
	keys  map[string]string
}

// TestKeys guards against running a request twice when its key is sent again to another
// daemon, while the store is down, or after the owner of its slot has stopped.
func TestKeys(t *testing.T) {
	var cases []keyCase
	loadJSON(t, "keys.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := memstore.New()
			r := &keyRun{fleet: startStoreFleet(t, s, "desk", "agenda", "agenda", "agenda"), store: s, keys: map[string]string{}}
			r.waitOwners(t, 0)
			for _, step := range c.Steps {
				r.step(t, step)
			}
			for key, want := range c.WantRuns {
				is.New(t).Equal(len(r.fleet.executions(key)), want) // runs of the key
			}
		})
	}
}

func (r *keyRun) step(t *testing.T, s keyStep) {
	t.Helper()
	switch s.Do {
	case "Send":
		r.send(t, s)
	case "StoreDown":
		r.store.SetFaults(memstore.Faults{Down: true})
	case "StoreUp":
		r.store.SetFaults(memstore.Faults{})
	case "StopOwner":
		r.stopOwner(t, r.uuidFor(s.Key))
	case "KillOwner":
		r.killOwner(t, r.uuidFor(s.Key))
	case "SendAtOnce":
		r.sendAtOnce(t, s)
	case "WaitOwners":
		r.waitOwners(t, s.Node)
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
}

// uuidFor returns the UUIDv7 for a key name of the scenario.
func (r *keyRun) uuidFor(name string) string {
	if r.keys[name] == "" {
		r.keys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return r.keys[name]
}

func (r *keyRun) send(t *testing.T, s keyStep) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, "http://"+r.fleet.nodes[s.Node].CallerAddress()+s.Path, strings.NewReader(s.Body))
	is.NoErr(err)
	request.Header.Set("Pollenscale-Service", "agenda")
	request.Header.Set("Idempotency-Key", r.uuidFor(s.Key))
	request.Header.Set("Standin-Id", s.Key)
	response, err := r.fleet.client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var p struct{ Reason, Detail string }
	if response.Header.Get("Content-Type") == "application/problem+json" {
		is.NoErr(json.Unmarshal(data, &p))
		t.Logf("%s %s: %s", s.Do, s.Key, p.Detail)
	}
	is.Equal([]any{response.StatusCode, response.Header.Get("Pollenscale-Outcome"), p.Reason}, []any{s.WantStatus, s.WantOutcome, s.WantReason})
}

// sendAtOnce sends copies of a request to all daemons at the same time. Each must get the
// first answer, or a conflict because the first copy is still running.
func (r *keyRun) sendAtOnce(t *testing.T, s keyStep) {
	t.Helper()
	key := r.uuidFor(s.Key)
	var group errgroup.Group
	for n := range r.fleet.nodes {
		group.Go(func() error {
			got, err := r.fleet.post(t.Context(), n, http.MethodPost, s.Path, "data", map[string]string{
				"Idempotency-Key": key, "Standin-Id": s.Key, "Standin-Service-Time": "100ms",
			})
			if err != nil {
				return err
			}
			first := got.status == http.StatusOK && got.outcome == "Run"
			running := got.status == http.StatusConflict && got.reason == "Running"
			if !first && !running {
				return errors.Newf("%s at %d: %+v", s.Key, n, got)
			}
			return nil
		})
	}
	is.New(t).NoErr(group.Wait())
}

// slotOwner returns the node whose daemon owns the key's slot.
func (r *keyRun) slotOwner(t *testing.T, key string) *node {
	t.Helper()
	name := idempotency.LeaseName("agenda", idempotency.Key{Value: key}.Slot())
	for _, n := range r.fleet.nodes {
		if n.keys == nil {
			continue
		}
		if _, held := n.keys.holder.Held(name); held {
			return n
		}
	}
	t.Fatal("the slot has no owner")
	return nil
}

// stopOwner gracefully stops the daemon that owns the key's slot.
func (r *keyRun) stopOwner(t *testing.T, key string) {
	t.Helper()
	n := r.slotOwner(t, key)
	n.stop()
	<-n.stopped
}

// killOwner kills the daemon that owns the key's slot and starts another in its place. A
// killed daemon does not release its leases, so the store is down meanwhile.
func (r *keyRun) killOwner(t *testing.T, key string) {
	t.Helper()
	n := r.slotOwner(t, key)
	r.store.SetFaults(memstore.Faults{Down: true})
	r.fleet.restart(t, n, true)
	r.store.SetFaults(memstore.Faults{})
}

// waitOwners waits until the node's daemon knows the owners of all slots of the service.
func (r *keyRun) waitOwners(t *testing.T, node int) {
	t.Helper()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for slot := range idempotency.KeySlots {
			name := idempotency.LeaseName("agenda", slot)
			row, _, _ := r.store.Tables().Read(context.Background(), lease.LeaseTable, string(name))
			owner, token, ok := r.fleet.nodes[node].members.keySlotOwner("agenda", name)
			t.Logf("%s: row %s, known owner %s, token %d, known %v", name, row.Value, owner.Daemon, token, ok)
		}
	})
	eventually(t, 6*time.Second, func() bool {
		for slot := range idempotency.KeySlots {
			if _, _, ok := r.fleet.nodes[node].members.keySlotOwner("agenda", idempotency.LeaseName("agenda", slot)); !ok {
				return false
			}
		}
		return true
	})
}
