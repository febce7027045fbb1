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
	// propagationLimit is the guaranteed time within which a version is in force in all
	// daemons; the target is 2 s.
	propagationLimit = 15 * time.Second
	// observationPeriod covers three rounds of store reads in a small fleet.
	observationPeriod = 3 * time.Second
)

// configStep is one step of a configuration scenario.
type configStep struct {
	Do      string
	Node    int
	Version uint64
	// Bytes is the MaxBodyBytes of the published version.
	Bytes int
}

type configCase struct {
	Name  string
	Steps []configStep
}

// staleableStore is a store whose reads return an older state while stale is set.
type staleableStore struct {
	current, old *memstore.Store
	stale        atomic.Bool
}

func (r *staleableStore) tables() store.Tables {
	current, old := r.current.Tables(), r.old.Tables()
	tables := current
	tables.Read = func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
		if r.stale.Load() {
			return old.Read(ctx, table, key)
		}
		return current.Read(ctx, table, key)
	}
	tables.List = func(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
		if r.stale.Load() {
			return old.List(ctx, table, prefix, after, limit)
		}
		return current.List(ctx, table, prefix, after, limit)
	}
	return tables
}

func (r *staleableStore) objects() store.Objects {
	objects := r.current.Objects()
	current, old := objects.Get, r.old.Objects().Get
	objects.Get = func(ctx context.Context, id string) (io.ReadCloser, error) {
		if r.stale.Load() {
			return old(ctx, id)
		}
		return current(ctx, id)
	}
	return objects
}

// configRun is the state of a running scenario.
type configRun struct {
	fleet *testFleet
	store *staleableStore
	// documents holds the documents of each published version.
	documents map[uint64]config.Documents
	// highestVersion is the highest version seen in force in each daemon. It is kept
	// across restarts.
	highestVersion map[fleet.DaemonID]uint64
	// excluded holds the daemons that are made not to follow the fleet's version.
	excluded map[fleet.DaemonID]bool
}

// TestConfiguration guards against versions that do not come into force in all daemons,
// that are replaced by an older version, or that spread although they fail validation.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	var cases []configCase
	loadJSON(t, "configuration.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := &configRun{
				store:          &staleableStore{current: memstore.New(), old: memstore.New()},
				documents:      map[uint64]config.Documents{},
				highestVersion: map[fleet.DaemonID]uint64{},
				excluded:       map[fleet.DaemonID]bool{},
			}
			r.fleet = startFleetWith(t, []Option{WithStore(r.store.tables(), r.store.objects())}, "desk", "agenda", "agenda", "agenda")
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
		eventually(t, propagationLimit, func() bool { return r.allInForce(t, s.Version) })
		t.Logf("version %d in force everywhere after %v", s.Version, time.Since(start).Round(time.Millisecond))
	case "Stays":
		for until := time.Now().Add(observationPeriod); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			is.New(t).True(r.allInForce(t, s.Version)) // the version stays in force
		}
	case "StoreDown":
		r.store.current.SetFaults(memstore.Faults{Down: true})
	case "StoreUp":
		r.store.current.SetFaults(memstore.Faults{})
	case "StoreStale":
		r.store.stale.Store(true)
	case "Restart":
		r.fleet.nodes[s.Node].prepare = r.checkEveryVersion(t)
		r.fleet.restart(t, r.fleet.nodes[s.Node], true)
	case "Join":
		r.addNode(t, r.checkEveryVersion(t))
	case "JoinLagging":
		r.excluded[r.addNode(t, r.makeLagging(t, s.Version))] = true
	case "JoinFaulty":
		r.excluded[r.addNode(t, r.makeFaulty(t, s.Version))] = true
	case "Refused":
		eventually(t, propagationLimit, func() bool { return r.allRefused() })
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
}

// publish publishes a version. Version 1 is also published to the older state.
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
	stores := []*memstore.Store{r.store.current}
	if s.Version == 1 {
		stores = append(stores, r.store.old)
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

// allInForce reports whether all daemons have the version in force, and checks that none
// has reverted to an older one.
func (r *configRun) allInForce(t *testing.T, version uint64) bool {
	t.Helper()
	all := true
	for _, n := range r.fleet.nodes {
		if r.excluded[n.Self.Daemon] {
			continue
		}
		have := n.config.holder.Version()
		r.checkNoRevert(t, n.Self.Daemon, have.Number)
		all = all && have.Number == version && have.Digest == r.documents[version].Digest()
	}
	return all
}

// checkNoRevert checks that a daemon has not reverted to an older version. Version 0
// stands for the settings of a daemon that has just started.
func (r *configRun) checkNoRevert(t *testing.T, id fleet.DaemonID, version uint64) {
	t.Helper()
	if version == 0 {
		return
	}
	if version < r.highestVersion[id] {
		t.Fatalf("daemon %s reverted from version %d to %d", id, r.highestVersion[id], version)
	}
	r.highestVersion[id] = version
}

// checkEveryVersion checks each version that comes into force in a daemon, however
// briefly.
func (r *configRun) checkEveryVersion(t *testing.T) func(*node) {
	return func(n *node) {
		floor, onChange := r.highestVersion[n.Self.Daemon], n.config.holder.OnChange
		n.config.holder.OnChange = func(set *policy.Set) {
			if set.Version < floor {
				t.Errorf("daemon %s reverted from version %d to %d", n.Self.Daemon, floor, set.Version)
			}
			onChange(set)
		}
	}
}

// addNode adds a daemon to the fleet.
func (r *configRun) addNode(t *testing.T, prepare func(*node)) fleet.DaemonID {
	t.Helper()
	f := r.fleet
	n := newNode(t, "agenda", string(rune('a'+len(f.nodes))), f.options...)
	n.prepare = prepare
	f.addSeeds(n)
	f.nodes = append(f.nodes, n)
	n.start(t)
	return n.Self.Daemon
}

// snapshot returns a published version as a snapshot.
func (r *configRun) snapshot(version uint64) config.Snapshot {
	docs := r.documents[version]
	v := config.Version{Number: version, PublishID: config.PublishID(fmt.Sprint("publish-", version)), Digest: docs.Digest()}
	return config.Snapshot{Version: v, Documents: docs}
}

// makeLagging makes a daemon hold, announce and serve one version permanently.
func (r *configRun) makeLagging(t *testing.T, version uint64) func(*node) {
	return func(n *node) {
		_, err := n.config.holder.ApplySnapshot(r.snapshot(version))
		is.New(t).NoErr(err)
		n.config.spreader.ReadStore = nil
		n.config.spreader.Apply = func(context.Context, spread.Update) error { return errors.New("the daemon is made to lag") }
	}
}

// makeFaulty makes a daemon announce and serve a version that fails validation.
func (r *configRun) makeFaulty(t *testing.T, version uint64) func(*node) {
	return func(n *node) {
		r.makeLagging(t, version-1)(n)
		bad := config.Documents{"services/agenda.json": []byte(`{"Template": "absent"}`)}
		next := config.Version{Number: version, PublishID: "bad", Digest: r.documents[version-1].With(bad).Digest()}
		n.config.spreader.Current = func() spread.Head {
			return spread.Head{Version: spread.Version(version), Digest: string(next.Digest)}
		}
		n.PeerServer.FetchConfig = func(_ context.Context, m *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
			u := n.config.holder.UpdateFrom(m.GetAfterVersion())
			u.Changes = append(u.Changes, config.Change{Version: next, Documents: bad})
			return encodeUpdate(u), nil
		}
	}
}

// allRefused reports whether all daemons have refused a version.
func (r *configRun) allRefused() bool {
	for _, n := range r.fleet.nodes {
		if !r.excluded[n.Self.Daemon] && n.config.holder.Refused() == 0 {
			return false
		}
	}
	return true
}
