package config_test

import (
	"context"
	"fmt"
	"reflect"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/config"
	"pollenscale/core/store"
	"pollenscale/standin/memstore"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func publisher(s *memstore.Store, operator string) *config.Publisher {
	return &config.Publisher{Archive: config.Archive{Tables: s.Tables(), Objects: s.Objects()}, Operator: operator}
}

// withTimeout returns the documents with the lookup timeout of a service set. The
// padding is white space that does not change the meaning of the document.
func withTimeout(docs config.Documents, service string, ms, padding int) config.Documents {
	parameters := fmt.Sprintf(`"LookupTimeout":%d`, ms)
	if service != "agenda" {
		parameters += `,"DefaultOrganisation":""` // no organisation lists it
	}
	body := fmt.Sprintf(`{"Template":"pages","Parameters":{%s}}%*s`, parameters, padding, "")
	return docs.With(config.Documents{"services/" + service + ".json": []byte(body)})
}

func publish(ctx context.Context, p *config.Publisher, docs config.Documents) (config.Version, error) {
	plan, err := p.Plan(ctx, docs, "")
	if err != nil {
		return config.Version{}, err
	}
	return p.Publish(ctx, plan)
}

// TestPublishTwice guards against a second publish of the same directory that
// creates another version.
func TestPublishTwice(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	p := publisher(s, "ana")
	first, err := publish(t.Context(), p, deployment(t, "puente"))
	is.NoErr(err)
	rows := s.Counts().RowsWritten
	second, err := publish(t.Context(), p, deployment(t, "puente"))
	is.NoErr(err)
	is.Equal(first, second)
	is.Equal(first.Number, uint64(1))
	is.Equal(s.Counts().RowsWritten, rows)
}

// TestRacingOperators guards against a publish that overwrites a concurrent one,
// and against a conflict error that does not say what the other operator changed.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	ana, ben := publisher(s, "ana"), publisher(s, "ben")
	base := deployment(t, "puente")
	_, err := publish(t.Context(), ana, base)
	is.NoErr(err)
	anaPlan, err := ana.Plan(t.Context(), withTimeout(base, "agenda", 111, 0), "")
	is.NoErr(err)
	benPlan, err := ben.Plan(t.Context(), withTimeout(base, "agenda", 222, 0), "")
	is.NoErr(err)
	newer, err := ben.Publish(t.Context(), benPlan)
	is.NoErr(err)
	_, err = ana.Publish(t.Context(), anaPlan)
	var conflict *config.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Base, uint64(1))
	is.Equal(len(conflict.Newer), 1)
	is.Equal(conflict.Newer[0].Version, newer)
	is.Equal(conflict.Newer[0].Operator, "ben")
	is.Equal(conflict.Overlapping, []string{"services/agenda.json"})
	got, err := ana.Snapshot(t.Context(), 0)
	is.NoErr(err)
	is.Equal(got.Version, newer)
	is.Equal(got.Documents, withTimeout(base, "agenda", 222, 0))
}

// TestLostAnswer guards against a publish that takes effect twice, or that is
// reported as failed although it took effect, when an answer of the store is lost.
// Each case lists the faults of successive calls of Transact.
func TestLostAnswer(t *testing.T) {
	var cases []struct {
		Name string
		// Faults are the faults of the calls of Transact in order; the last one applies
		// to all further calls. Ok: none. Lost: applied, but the answer is lost.
		// Refused: not applied. Late: applied after the next call. Twice: applied twice.
		Faults      []string
		WantVersion uint64
		WantError   string
	}
	load(t, "lost.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := memstore.New()
				p := publisher(s, "ana")
				base := deployment(t, "puente")
				_, err := publish(t.Context(), p, base)
				is.NoErr(err)
				p.Tables.Transact = faulty(s.Tables().Transact, c.Faults)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				next := withTimeout(base, "agenda", 111, 0)
				got, err := publish(ctx, p, next)
				if c.WantError != "" {
					is.True(err != nil)
					is.Equal(errors.Is(err, config.ErrOutcomeUnknown), c.WantError == "OutcomeUnknown")
					is.Equal(errors.Is(err, config.ErrNotPublished), c.WantError == "NotPublished")
				} else {
					is.NoErr(err)
					is.Equal(got.Digest, next.Digest())
				}
				head, err := publisher(s, "ben").Snapshot(t.Context(), 0)
				is.NoErr(err)
				is.Equal(head.Number, c.WantVersion)
			})
		})
	}
}

func faulty(real func(context.Context, store.Transaction) (store.Result, error), faults []string) func(context.Context, store.Transaction) (store.Result, error) {
	call := 0
	var late []store.Transaction
	return func(ctx context.Context, t store.Transaction) (store.Result, error) {
		fault := faults[min(call, len(faults)-1)]
		call++
		defer func(pending []store.Transaction) {
			for _, p := range pending {
				_, _ = real(ctx, p)
			}
		}(late)
		late = nil
		switch fault {
		case "Lost":
			_, _ = real(ctx, t)
			return store.Result{}, store.ErrUnavailable
		case "Refused":
			return store.Result{}, store.ErrUnavailable
		case "Late":
			late = append(late, t)
			return store.Result{}, store.ErrUnavailable
		case "Twice":
			_, _ = real(ctx, t)
		}
		return real(ctx, t)
	}
}

// TestStaleStore guards against a publish that was planned against a stale head.
// It must neither take effect nor be reported as unchanged.
func TestStaleStore(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	p := publisher(s, "ana")
	base := deployment(t, "puente")
	_, err := publish(t.Context(), p, base)
	is.NoErr(err)
	s.SetFaults(memstore.Faults{Stale: true})
	benPlan, err := publisher(s, "ben").Plan(t.Context(), withTimeout(base, "agenda", 222, 0), "")
	is.NoErr(err)
	newer, err := publisher(s, "ben").Publish(t.Context(), benPlan)
	is.NoErr(err)
	for _, docs := range []config.Documents{base, withTimeout(base, "agenda", 111, 0)} {
		_, err = publish(t.Context(), p, docs)
		var conflict *config.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Newer[0].Version, newer)
	}
}

// TestRollback guards against a rollback that reuses an old version number.
func TestRollback(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	p := publisher(s, "ana")
	base := deployment(t, "puente")
	for _, ms := range []int{100, 200} {
		_, err := publish(t.Context(), p, withTimeout(base, "agenda", ms, 0))
		is.NoErr(err)
	}
	plan, err := p.PlanRollback(t.Context(), 1)
	is.NoErr(err)
	is.Equal(plan.Edits, []config.Edit{{Path: "services/agenda.json", Kind: config.Changed}})
	got, err := p.Publish(t.Context(), plan)
	is.NoErr(err)
	is.Equal(got.Number, uint64(3))
	is.Equal(got.Digest, withTimeout(base, "agenda", 100, 0).Digest())
}

// TestRetention guards against old versions that are never removed from the store,
// and against versions that are removed while they must still be kept.
func TestRetention(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	p := publisher(s, "ana")
	base := deployment(t, "puente")
	p.KeepVersions = 100
	total := 100 + 300
	for i := range total {
		_, err := publish(t.Context(), p, base.With(config.Documents{"services/agenda.json": []byte(`{"Template":"pages"}` + fmt.Sprintf("%*s", i, ""))}))
		is.NoErr(err)
	}
	rows, err := s.Tables().List(t.Context(), "config", "", "", 0)
	is.NoErr(err)
	is.True(len(rows) < 2*(100+200))
	oldest := uint64(total - 100 + 1)
	got, err := p.Snapshot(t.Context(), oldest)
	is.NoErr(err)
	is.Equal(got.Number, oldest)
}

// TestRandomised guards promise 7 in random runs: no published version is lost,
// published twice or reverted. The runs have concurrent operators, lost answers, a
// store that is down, rejects calls or answers from a stale state, and daemons that
// restart and fetch changes from the store and from each other in any order.
func TestRandomised(t *testing.T) {
	base := deployment(t, "puente")
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		s := memstore.New(memstore.WithSeed(seed))
		run := &randomRun{t: r, store: s, base: base, published: map[uint64]config.Digest{}, undetermined: map[config.Digest]bool{}}
		for range 4 {
			run.daemons = append(run.daemons, &config.Holder{MaxHistory: 3})
		}
		r.Repeat(map[string]func(*rapid.T){
			"publish": run.publish,
			"race":    run.race,
			"faults":  run.faults,
			"fetch":   run.fetch,
			"gossip":  run.gossip,
			"restart": run.restart,
			"":        run.check,
		})
		run.finish()
	})
}

type randomRun struct {
	t         *rapid.T
	store     *memstore.Store
	base      config.Documents
	daemons   []*config.Holder
	highest   [4]uint64 // the highest version that each daemon has held
	published map[uint64]config.Digest
	// undetermined are the digests whose publish ended with an unknown outcome.
	undetermined map[config.Digest]bool
	count        int
}

func (run *randomRun) next(r *rapid.T) config.Documents {
	run.count++
	service := rapid.SampledFrom([]string{"agenda", "extra-1", "extra-2"}).Draw(r, "service")
	padding := rapid.SampledFrom([]int{0, 0, 40 << 10}).Draw(r, "padding")
	current, err := (&config.Archive{Tables: run.store.Tables(), Objects: run.store.Objects()}).Snapshot(context.Background(), 0)
	docs := current.Documents
	if err != nil || len(docs) == 0 {
		docs = run.base
	}
	if rapid.Bool().Draw(r, "organisation") {
		body := fmt.Sprintf(`{"Services":{"agenda":{"OrganisationShare":%d}}}`, run.count)
		return docs.With(config.Documents{"organisations/voces-del-sur.json": []byte(body)})
	}
	return withTimeout(docs, service, run.count, padding)
}

// publishPlans publishes the plans one after the other and records the outcomes.
// Each publish ends after three pauses.
func (run *randomRun) publishPlans(r *rapid.T, plans ...*config.Plan) {
	for _, plan := range plans {
		p := publisher(run.store, "ana")
		pauses := 0
		p.Pause = func(context.Context, time.Duration) error {
			if pauses++; pauses > 3 {
				return context.DeadlineExceeded
			}
			return nil
		}
		got, err := p.Publish(context.Background(), plan)
		var conflict *config.ConflictError
		switch {
		case err == nil:
			if have, ok := run.published[got.Number]; ok && plan.HasChanges() {
				r.Fatalf("version %d published twice: %.8s and %.8s", got.Number, have, got.Digest)
			}
			run.published[got.Number] = got.Digest
		case errors.As(err, &conflict), errors.Is(err, config.ErrNotPublished):
		case errors.Is(err, config.ErrOutcomeUnknown):
			run.undetermined[plan.NextDigest] = true
		default:
			r.Fatalf("unexpected error %v", err)
		}
	}
}

// plan returns nil if the store does not answer. Any other error fails the test.
func (run *randomRun) plan(r *rapid.T, operator string) *config.Plan {
	plan, err := publisher(run.store, operator).Plan(context.Background(), run.next(r), "")
	if err != nil && !errors.Is(err, store.ErrUnavailable) {
		r.Fatalf("plan: %v", err)
	}
	return plan
}

func (run *randomRun) publish(r *rapid.T) {
	if plan := run.plan(r, "ana"); plan != nil {
		run.publishPlans(r, plan)
	}
}

func (run *randomRun) race(r *rapid.T) {
	first, second := run.plan(r, "ana"), run.plan(r, "ben")
	if first != nil && second != nil {
		run.publishPlans(r, first, second)
	}
}

func (run *randomRun) faults(r *rapid.T) {
	run.store.SetFaults(memstore.Faults{
		Down:        rapid.IntRange(0, 5).Draw(r, "down") == 0,
		Stale:       rapid.Bool().Draw(r, "stale"),
		LoseAnswer:  rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(r, "lose"),
		RefuseShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(r, "refuse"),
	})
}

func (run *randomRun) fetch(r *rapid.T) {
	i := rapid.IntRange(0, len(run.daemons)-1).Draw(r, "daemon")
	archive := &config.Archive{Tables: run.store.Tables(), Objects: run.store.Objects()}
	if update, err := archive.UpdateFrom(context.Background(), run.daemons[i].Version().Number); err == nil {
		run.apply(r, run.daemons[i], update)
	}
}

func (run *randomRun) gossip(r *rapid.T) {
	from := run.daemons[rapid.IntRange(0, len(run.daemons)-1).Draw(r, "from")]
	to := run.daemons[rapid.IntRange(0, len(run.daemons)-1).Draw(r, "to")]
	after := to.Version().Number
	if rapid.Bool().Draw(r, "repeated") {
		after -= min(after, 2)
	}
	run.apply(r, to, from.UpdateFrom(after))
}

func (run *randomRun) apply(r *rapid.T, h *config.Holder, u config.Update) {
	if _, err := h.ApplyUpdate(u); err != nil && !errors.Is(err, config.ErrGap) {
		r.Fatalf("published version was refused: %v", err)
	}
	// The policy in force is rendered incrementally. It must equal a full rendering.
	have := h.Snapshot()
	if have.Number == 0 {
		return
	}
	want, err := config.Render(have.Number, have.Documents)
	if err != nil || !reflect.DeepEqual(h.Current(), want) {
		r.Fatalf("policy in force differs from the full rendering of version %d: %v", have.Number, err)
	}
}

// restart replaces a daemon during a store outage. The new process has no stored
// state and learns versions only from its peers. A lagging peer must not make it
// apply a version below the highest one among them.
func (run *randomRun) restart(r *rapid.T) {
	i := rapid.IntRange(0, len(run.daemons)-1).Draw(r, "daemon")
	run.daemons[i] = &config.Holder{}
	fresh := &config.Holder{MaxHistory: 3}
	run.highest[i] = 0
	for _, d := range run.daemons {
		fresh.Announce(d.Version().Number)
		run.highest[i] = max(run.highest[i], d.Version().Number)
	}
	for _, d := range run.daemons {
		if _, err := fresh.ApplyUpdate(d.UpdateFrom(0)); err != nil && !errors.Is(err, config.ErrGap) {
			r.Fatalf("version of a peer was refused: %v", err)
		}
	}
	run.daemons[i] = fresh
}

func (run *randomRun) check(r *rapid.T) {
	for i, d := range run.daemons {
		v := d.Version()
		if v.Number < run.highest[i] {
			r.Fatalf("daemon %d reverted from version %d to %d", i, run.highest[i], v.Number)
		}
		run.highest[i] = v.Number
		if want, ok := run.published[v.Number]; ok && want != v.Digest {
			r.Fatalf("daemon %d holds %.8s as version %d, published was %.8s", i, v.Digest, v.Number, want)
		}
	}
}

// finish clears the faults of the store and checks that its history has no gaps,
// that each version was reported to an operator as published or has an unknown
// outcome, and that every daemon catches up.
func (run *randomRun) finish() {
	run.store.SetFaults(memstore.Faults{})
	archive := &config.Archive{Tables: run.store.Tables(), Objects: run.store.Objects()}
	history, err := archive.History(context.Background(), 0, 0)
	if err != nil {
		run.t.Fatal(err)
	}
	for i, v := range history {
		if v.Number != uint64(i+1) {
			run.t.Fatalf("version %d is at position %d of the history", v.Number, i+1)
		}
		if want, ok := run.published[v.Number]; ok && want != v.Digest || !ok && !run.undetermined[v.Digest] {
			run.t.Fatalf("version %d has digest %.8s, published was %q", v.Number, v.Digest, strconv.Quote(string(want)))
		}
	}
	for number := range run.published {
		if number > uint64(len(history)) {
			run.t.Fatalf("version %d was reported as published but is not in the store", number)
		}
	}
	for i, d := range run.daemons {
		update, err := archive.UpdateFrom(context.Background(), d.Version().Number)
		if err != nil {
			run.t.Fatal(err)
		}
		run.apply(run.t, d, update)
		if int(d.Version().Number) != len(history) {
			run.t.Fatalf("daemon %d has caught up only to version %d of %d", i, d.Version().Number, len(history))
		}
	}
}
