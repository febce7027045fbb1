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

// withTimeout returns the documents with the deadline of agenda's lookups set,
// and padding bytes that do not change its meaning.
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
// makes another version.
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

// TestRacingOperators guards against one publish that overwrites another, and
// against a loser that is not told what changed.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	ana, ben := publisher(s, "ana"), publisher(s, "ben")
	base := deployment(t, "puente")
	_, err := publish(t.Context(), ana, base)
	is.NoErr(err)
	mine, err := ana.Plan(t.Context(), withTimeout(base, "agenda", 111, 0), "")
	is.NoErr(err)
	theirs, err := ben.Plan(t.Context(), withTimeout(base, "agenda", 222, 0), "")
	is.NoErr(err)
	won, err := ben.Publish(t.Context(), theirs)
	is.NoErr(err)
	_, err = ana.Publish(t.Context(), mine)
	var conflict *config.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Base, uint64(1))
	is.Equal(len(conflict.Newer), 1)
	is.Equal(conflict.Newer[0].Version, won)
	is.Equal(conflict.Newer[0].Operator, "ben")
	is.Equal(conflict.Overlapping, []string{"services/agenda.json"})
	got, err := ana.Snapshot(t.Context(), 0)
	is.NoErr(err)
	is.Equal(got.Version, won)
	is.Equal(got.Documents, withTimeout(base, "agenda", 222, 0))
}

// TestLostAnswer guards against a publish that takes effect twice, or is
// reported as failed after it took effect, when the store's answer is lost.
// Each case says which calls of Transact lose their answer and whether the
// transaction was applied, applied later, or applied twice.
func TestLostAnswer(t *testing.T) {
	var cases []struct {
		Name string
		// Faults are applied to the calls of Transact in order: Ok, Lost (after
		// the effect), Refused, Late (applied after the next call), Twice.
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
					is.Equal(errors.Is(err, config.ErrOutcomeUnknown), c.WantError == "Unsettled")
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

// TestStaleStore guards against a publish of what an old answer names as the
// version in force: it must neither take effect nor be called unchanged.
func TestStaleStore(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	p := publisher(s, "ana")
	base := deployment(t, "puente")
	_, err := publish(t.Context(), p, base)
	is.NoErr(err)
	s.SetFaults(memstore.Faults{Stale: true})
	theirs, err := publisher(s, "ben").Plan(t.Context(), withTimeout(base, "agenda", 222, 0), "")
	is.NoErr(err)
	won, err := publisher(s, "ben").Publish(t.Context(), theirs)
	is.NoErr(err)
	for _, docs := range []config.Documents{base, withTimeout(base, "agenda", 111, 0)} {
		_, err = publish(t.Context(), p, docs)
		var conflict *config.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Newer[0].Version, won)
	}
}

// TestRollback guards against an undo that brings back an old version number.
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

// TestRetention guards against versions that pile up in the store, and against
// ones that are removed while they are still needed.
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

// TestRandomised guards promise 7 in random runs: operators who race, answers
// that are lost, a store that is down, slow, refuses or is stale, and daemons
// that take changes from it and from each other in any order and restart.
func TestRandomised(t *testing.T) {
	base := deployment(t, "puente")
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		s := memstore.New(memstore.WithSeed(seed))
		w := &world{t: r, store: s, base: base, published: map[uint64]config.Digest{}, maybe: map[config.Digest]bool{}}
		for range 4 {
			w.daemons = append(w.daemons, &config.Holder{MaxHistory: 3})
		}
		r.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"race":    w.race,
			"faults":  w.faults,
			"fetch":   w.fetch,
			"gossip":  w.gossip,
			"restart": w.restart,
			"":        w.check,
		})
		w.finish()
	})
}

type world struct {
	t         *rapid.T
	store     *memstore.Store
	base      config.Documents
	daemons   []*config.Holder
	seen      [4]uint64
	published map[uint64]config.Digest
	// maybe are digests whose publish ended without a known outcome.
	maybe map[config.Digest]bool
	count int
}

func (w *world) next(r *rapid.T) config.Documents {
	w.count++
	service := rapid.SampledFrom([]string{"agenda", "extra-1", "extra-2"}).Draw(r, "service")
	padding := rapid.SampledFrom([]int{0, 0, 40 << 10}).Draw(r, "padding")
	current, err := (&config.Archive{Tables: w.store.Tables(), Objects: w.store.Objects()}).Snapshot(context.Background(), 0)
	docs := current.Documents
	if err != nil || len(docs) == 0 {
		docs = w.base
	}
	if rapid.Bool().Draw(r, "organisation") {
		body := fmt.Sprintf(`{"Services":{"agenda":{"OrganisationShare":%d}}}`, w.count)
		return docs.With(config.Documents{"organisations/voces-del-sur.json": []byte(body)})
	}
	return withTimeout(docs, service, w.count, padding)
}

// operate publishes and gives up after three pauses; the outcome must match the store.
func (w *world) operate(r *rapid.T, plans ...*config.Plan) {
	for _, plan := range plans {
		p := publisher(w.store, "ana")
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
			if have, ok := w.published[got.Number]; ok && plan.HasChanges() {
				r.Fatalf("version %d published twice: %.8s and %.8s", got.Number, have, got.Digest)
			}
			w.published[got.Number] = got.Digest
		case errors.As(err, &conflict), errors.Is(err, config.ErrNotPublished):
		case errors.Is(err, config.ErrOutcomeUnknown):
			w.maybe[plan.NextDigest] = true
		default:
			r.Fatalf("unexpected error %v", err)
		}
	}
}

// plan returns nil when the store does not answer; any other failure is one of
// the test.
func (w *world) plan(r *rapid.T, operator string) *config.Plan {
	plan, err := publisher(w.store, operator).Plan(context.Background(), w.next(r), "")
	if err != nil && !errors.Is(err, store.ErrUnavailable) {
		r.Fatalf("plan: %v", err)
	}
	return plan
}

func (w *world) publish(r *rapid.T) {
	if plan := w.plan(r, "ana"); plan != nil {
		w.operate(r, plan)
	}
}

func (w *world) race(r *rapid.T) {
	one, two := w.plan(r, "ana"), w.plan(r, "ben")
	if one != nil && two != nil {
		w.operate(r, one, two)
	}
}

func (w *world) faults(r *rapid.T) {
	w.store.SetFaults(memstore.Faults{
		Down:        rapid.IntRange(0, 5).Draw(r, "down") == 0,
		Stale:       rapid.Bool().Draw(r, "stale"),
		LoseAnswer:  rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(r, "lose"),
		RefuseShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(r, "refuse"),
	})
}

func (w *world) fetch(r *rapid.T) {
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(r, "daemon")
	archive := &config.Archive{Tables: w.store.Tables(), Objects: w.store.Objects()}
	if update, err := archive.UpdateFrom(context.Background(), w.daemons[i].Version().Number); err == nil {
		w.apply(r, w.daemons[i], update)
	}
}

func (w *world) gossip(r *rapid.T) {
	from := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(r, "from")]
	to := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(r, "to")]
	after := to.Version().Number
	if rapid.Bool().Draw(r, "repeated") {
		after -= min(after, 2)
	}
	w.apply(r, to, from.UpdateFrom(after))
}

func (w *world) apply(r *rapid.T, h *config.Holder, u config.Update) {
	if _, err := h.ApplyUpdate(u); err != nil && !errors.Is(err, config.ErrGap) {
		r.Fatalf("refused a published version: %v", err)
	}
	// The policy in force is rendered in parts; it must equal a whole rendering.
	have := h.Snapshot()
	if have.Number == 0 {
		return
	}
	want, err := config.Render(have.Number, have.Documents)
	if err != nil || !reflect.DeepEqual(h.Current(), want) {
		r.Fatalf("version %d is not in force as it renders: %v", have.Number, err)
	}
}

// restart replaces a daemon during an outage. A daemon keeps no state, so that
// it can know only what its peers hold: a lagging peer must not bring it below
// the highest of them.
func (w *world) restart(r *rapid.T) {
	i := rapid.IntRange(0, len(w.daemons)-1).Draw(r, "daemon")
	w.daemons[i] = &config.Holder{}
	fresh := &config.Holder{MaxHistory: 3}
	w.seen[i] = 0
	for _, d := range w.daemons {
		fresh.Announce(d.Version().Number)
		w.seen[i] = max(w.seen[i], d.Version().Number)
	}
	for _, d := range w.daemons {
		if _, err := fresh.ApplyUpdate(d.UpdateFrom(0)); err != nil && !errors.Is(err, config.ErrGap) {
			r.Fatalf("refused a peer's version: %v", err)
		}
	}
	w.daemons[i] = fresh
}

func (w *world) check(r *rapid.T) {
	for i, d := range w.daemons {
		v := d.Version()
		if v.Number < w.seen[i] {
			r.Fatalf("daemon %d went from version %d back to %d", i, w.seen[i], v.Number)
		}
		w.seen[i] = v.Number
		if want, ok := w.published[v.Number]; ok && want != v.Digest {
			r.Fatalf("daemon %d holds %.8s as version %d, published was %.8s", i, v.Digest, v.Number, want)
		}
	}
}

// finish heals the store and checks that its history is gapless, that each
// version is one that an operator was told of or left unsettled, and that every
// daemon catches up.
func (w *world) finish() {
	w.store.SetFaults(memstore.Faults{})
	archive := &config.Archive{Tables: w.store.Tables(), Objects: w.store.Objects()}
	history, err := archive.History(context.Background(), 0, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	for i, v := range history {
		if v.Number != uint64(i+1) {
			w.t.Fatalf("version %d stands at place %d", v.Number, i+1)
		}
		if want, ok := w.published[v.Number]; ok && want != v.Digest || !ok && !w.maybe[v.Digest] {
			w.t.Fatalf("version %d has digest %.8s, told was %q", v.Number, v.Digest, strconv.Quote(string(want)))
		}
	}
	for number := range w.published {
		if number > uint64(len(history)) {
			w.t.Fatalf("version %d was told to an operator and is not in the store", number)
		}
	}
	for i, d := range w.daemons {
		update, err := archive.UpdateFrom(context.Background(), d.Version().Number)
		if err != nil {
			w.t.Fatal(err)
		}
		w.apply(w.t, d, update)
		if int(d.Version().Number) != len(history) {
			w.t.Fatalf("daemon %d is at version %d of %d", i, d.Version().Number, len(history))
		}
	}
}
