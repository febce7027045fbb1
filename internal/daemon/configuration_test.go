package daemon

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/config"
	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/core/spread"
	"pollenscale/core/store"
	"pollenscale/io/peer/peerpb"
	"pollenscale/standin/memstore"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	// spreadBound is the stated bound within which a version is in force
	// everywhere; the goal is 2 s.
	spreadBound = 15 * time.Second
	// watchTime is three rounds of store reads of a small fleet.
	watchTime = 3 * time.Second
)

// configStep is one step of a script about configuration.
type configStep struct {
	Do      string
	Node    int
	Version uint64
	// Bytes is the MaxBodyBytes of the version that is published.
	Bytes int
}

type configCase struct {
	Name  string
	Steps []configStep
}

// replica answers reads of the store, from an older state when stale is set.
type replica struct {
	store, past *memstore.Store
	stale       atomic.Bool
}

func (r *replica) tables() store.Tables {
	now, past := r.store.Tables(), r.past.Tables()
	tables := now
	tables.Read = func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
		if r.stale.Load() {
			return past.Read(ctx, table, key)
		}
		return now.Read(ctx, table, key)
	}
	tables.List = func(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
		if r.stale.Load() {
			return past.List(ctx, table, prefix, after, limit)
		}
		return now.List(ctx, table, prefix, after, limit)
	}
	return tables
}

func (r *replica) objects() store.Objects {
	objects := r.store.Objects()
	now, past := objects.Get, r.past.Objects().Get
	objects.Get = func(ctx context.Context, id string) (io.ReadCloser, error) {
		if r.stale.Load() {
			return past(ctx, id)
		}
		return now(ctx, id)
	}
	return objects
}

// configRun is a script under way.
type configRun struct {
	fleet   *testFleet
	replica *replica
	// documents are those of each published version.
	documents map[uint64]config.Documents
	// highest is the latest version seen in force in each daemon, which holds
	// across restarts.
	highest map[fleet.DaemonID]uint64
	// apart are daemons that do not follow the fleet.
	apart map[fleet.DaemonID]bool
}

// TestConfiguration guards against a version that does not come into force in
// all daemons, that is replaced by an older one, or that spreads although it
// fails its checks.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	var cases []configCase
	loadJSON(t, "configuration.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := &configRun{
				replica:   &replica{store: memstore.New(), past: memstore.New()},
				documents: map[uint64]config.Documents{},
				highest:   map[fleet.DaemonID]uint64{},
				apart:     map[fleet.DaemonID]bool{},
			}
			r.fleet = startFleetWith(t, []Option{WithStore(r.replica.tables(), r.replica.objects())}, "desk", "agenda", "agenda", "agenda")
			for _, step := range c.Steps {
				r.step(t, step)
			}
		})
	}
}

func (r *configRun) step(t *testing.T, s configStep) {
	t.Helper()
	switch s.Do {
	case "Publish":
		r.publish(t, s)
	case "InForce":
		start := time.Now()
		eventually(t, spreadBound, func() bool { return r.inForce(t, s.Version) })
		t.Logf("version %d in force everywhere after %v", s.Version, time.Since(start).Round(time.Millisecond))
	case "Stays":
		for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			is.New(t).True(r.inForce(t, s.Version)) // the version stays in force
		}
	case "StoreDown":
		r.replica.store.SetFaults(memstore.Faults{Down: true})
	case "StoreUp":
		r.replica.store.SetFaults(memstore.Faults{})
	case "StoreStale":
		r.replica.stale.Store(true)
	case "Restart":
		r.fleet.nodes[s.Node].prepare = r.watch(t)
		r.fleet.restart(t, r.fleet.nodes[s.Node], true)
	case "Join":
		r.join(t, r.watch(t))
	case "JoinLagging":
		r.apart[r.join(t, r.lag(t, s.Version))] = true
	case "JoinFaulty":
		r.apart[r.join(t, r.fault(t, s.Version))] = true
	case "Refused":
		eventually(t, spreadBound, func() bool { return r.refused() })
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
}

// publish publishes a version, and version 1 also in the older state.
func (r *configRun) publish(t *testing.T, s configStep) {
	t.Helper()
	is := is.New(t)
	docs := config.Documents{
		"templates/plain.json": fmt.Appendf(nil, `{"Service": {
			"Ranks": [{"Name": "lookup", "Worth": 10, "TimeoutMilliseconds": 3000}],
			"DefaultRank": "lookup",
			"Retry": {"MaxAttempts": 3},
			"MaxBodyBytes": %d,
			"Organisation": {"Share": 1}}}`, s.Bytes),
		"services/desk.json":   []byte(`{"Template": "plain"}`),
		"services/agenda.json": []byte(`{"Template": "plain"}`),
	}
	r.documents[s.Version] = docs
	stores := []*memstore.Store{r.replica.store}
	if s.Version == 1 {
		stores = append(stores, r.replica.past)
	}
	for _, m := range stores {
		p := &config.Publisher{
			Archive:  config.Archive{Tables: m.Tables(), Objects: m.Objects()},
			Operator: "test",
			NewID:    func() config.PublishID { return config.PublishID(fmt.Sprint("publish-", s.Version)) },
		}
		plan, err := p.Plan(t.Context(), docs, "test")
		is.NoErr(err)
		version, err := p.Publish(t.Context(), plan)
		is.NoErr(err)
		is.Equal(version.Number, s.Version)
	}
}

// inForce reports whether all daemons have the version in force, and checks
// that none has an older one than before.
func (r *configRun) inForce(t *testing.T, version uint64) bool {
	t.Helper()
	all := true
	for _, n := range r.fleet.nodes {
		if r.apart[n.Own.Daemon] {
			continue
		}
		have := n.config.holder.Version()
		r.see(t, n.Own.Daemon, have.Number)
		all = all && have.Number == version && have.Digest == r.documents[version].Digest()
	}
	return all
}

// see checks that a daemon has no older version in force than before. Version
// 0 stands for the settings of a daemon that has just started.
func (r *configRun) see(t *testing.T, id fleet.DaemonID, version uint64) {
	t.Helper()
	if version == 0 {
		return
	}
	if version < r.highest[id] {
		t.Fatalf("daemon %s went back from version %d to %d", id, r.highest[id], version)
	}
	r.highest[id] = version
}

// watch checks each version that comes into force in a daemon, however short.
func (r *configRun) watch(t *testing.T) func(*node) {
	return func(n *node) {
		floor, onChange := r.highest[n.Own.Daemon], n.config.holder.OnChange
		n.config.holder.OnChange = func(set *policy.Set) {
			if set.Version < floor {
				t.Errorf("daemon %s went back from version %d to %d", n.Own.Daemon, floor, set.Version)
			}
			onChange(set)
		}
	}
}

// join adds a daemon to the fleet.
func (r *configRun) join(t *testing.T, prepare func(*node)) fleet.DaemonID {
	t.Helper()
	f := r.fleet
	n := newNode(t, "agenda", string(rune('a'+len(f.nodes))), f.options...)
	n.prepare = prepare
	f.introduce(n)
	f.nodes = append(f.nodes, n)
	n.start(t)
	return n.Own.Daemon
}

// snapshot returns a published version.
func (r *configRun) snapshot(version uint64) config.Snapshot {
	docs := r.documents[version]
	v := config.Version{Number: version, PublishID: config.PublishID(fmt.Sprint("publish-", version)), Digest: docs.Digest()}
	return config.Snapshot{Version: v, Documents: docs}
}

// lag makes a daemon hold, announce and serve one version for ever.
func (r *configRun) lag(t *testing.T, version uint64) func(*node) {
	return func(n *node) {
		_, err := n.config.holder.ApplySnapshot(r.snapshot(version))
		is.New(t).NoErr(err)
		n.config.spreader.ReadStore = nil
		n.config.spreader.Apply = func(context.Context, spread.Update) error { return errors.New("lags") }
	}
}

// fault makes a daemon announce and serve a version that fails its checks.
func (r *configRun) fault(t *testing.T, version uint64) func(*node) {
	return func(n *node) {
		r.lag(t, version-1)(n)
		bad := config.Documents{"services/agenda.json": []byte(`{"Template": "absent"}`)}
		next := config.Version{Number: version, PublishID: "bad", Digest: r.documents[version-1].With(bad).Digest()}
		n.config.spreader.Current = func() spread.Head {
			return spread.Head{Version: spread.Version(version), Digest: string(next.Digest)}
		}
		n.PeerSide.FetchConfig = func(_ context.Context, m *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
			u := n.config.holder.UpdateFrom(m.GetAfterVersion())
			u.Changes = append(u.Changes, config.Change{Version: next, Documents: bad})
			return packUpdate(u), nil
		}
	}
}

// refused reports whether all daemons have refused a version.
func (r *configRun) refused() bool {
	for _, n := range r.fleet.nodes {
		if !r.apart[n.Own.Daemon] && n.config.holder.Refused() == 0 {
			return false
		}
	}
	return true
}
