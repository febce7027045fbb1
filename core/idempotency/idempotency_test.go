package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/idempotency"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/internal/script"
	"pollenscale/standin/memstore"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

const slot = lease.Name("reservas/0")

// harness runs several owners of one key slot on a shared store.
type harness struct {
	ctx    context.Context
	group  *errgroup.Group
	start  time.Time
	store  *memstore.Store
	owners map[string]*owner
	claims map[string]*idempotency.Claim
	bounds [3]int
}

type owner struct {
	holder *lease.Holder
	table  *idempotency.Table
	// frozen replaces the clock reading, to model a process that is paused right
	// after it has read the clock.
	frozen *lease.Reading
}

func newHarness(ctx context.Context, group *errgroup.Group) *harness {
	return &harness{
		ctx: ctx, group: group, start: time.Now(), store: memstore.New(),
		owners: map[string]*owner{}, claims: map[string]*idempotency.Claim{},
		bounds: [3]int{4, 20, 50},
	}
}

func (h *harness) owner(name string) *owner {
	if o, ok := h.owners[name]; ok {
		return o
	}
	o := &owner{}
	clock := func() lease.Reading {
		if o.frozen != nil {
			return *o.frozen
		}
		return lease.ReadClock()
	}
	o.holder = lease.New(h.store.Tables(), fleet.DaemonID(name), 1, lease.WithClock(clock),
		lease.WithVacant(func() []lease.Name { return []lease.Name{slot} }))
	recorder := idempotency.NewRecorder(h.store.Tables(), fleet.DaemonID(name), 1)
	h.group.Go(func() error { return recorder.Run(h.ctx) })
	o.table = idempotency.New(slot, o.holder.Grant, idempotency.WithClock(clock),
		idempotency.WithRecorder(recorder), idempotency.WithBounds(h.bounds[0], h.bounds[1], h.bounds[2]))
	h.owners[name] = o
	return o
}

// key parses "@5s/x" as a UUIDv7 with a stamp of five seconds after the start,
// and "acme:@5s/x" as the same key of the organisation acme.
func (h *harness) key(s string) idempotency.Key {
	organisation, value, ok := strings.Cut(s, ":")
	if !ok {
		organisation, value = "puente", s
	}
	if strings.HasPrefix(value, "@") {
		after, suffix, _ := strings.Cut(value[1:], "/")
		d, err := time.ParseDuration(after)
		if err != nil {
			panic(err)
		}
		value = stamped(h.start.Add(d), suffix)
	}
	return idempotency.Key{Organisation: fleet.Organisation(organisation), Value: value}
}

func stamped(at time.Time, suffix string) string {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	copy(id[9:], suffix)
	return id.String()
}

// begin returns "claim", "response BODY" or "OUTCOME REASON".
func (h *harness) begin(who, rule, key, claim string, f idempotency.Fingerprint) string {
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	c, response, err := h.owner(who).table.Begin(ctx, policy.KeyRule(rule), h.key(key), f)
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return fmt.Sprintf("%s %s", refused.Outcome, refused.Reason)
	case response != nil:
		return "response " + string(response.Body)
	}
	h.claims[claim] = c
	return "claim"
}

func (h *harness) commands() map[string]script.Command {
	ok := func(err error) string {
		if err != nil {
			return "error"
		}
		return "ok"
	}
	return map[string]script.Command{
		"acquire": func(a []string) string { return ok(h.owner(a[0]).holder.Acquire(h.ctx)) },
		"renew":   func(a []string) string { return ok(h.owner(a[0]).holder.Renew(h.ctx)) },
		"release": func(a []string) string {
			ctx, cancel := context.WithTimeout(h.ctx, time.Second)
			defer cancel()
			upTo := h.owner(a[0]).table.Drain(ctx)
			return ok(h.owner(a[0]).holder.Release(h.ctx, slot, upTo))
		},
		"start-drain": func(a []string) string {
			h.group.Go(func() error {
				h.owner(a[0]).table.Drain(h.ctx)
				return nil
			})
			time.Sleep(time.Millisecond)
			return ""
		},
		"drain": func(a []string) string { return h.owner(a[0]).table.Drain(h.ctx).Sub(h.start).String() },
		"wait": func(a []string) string {
			d, err := time.ParseDuration(a[0])
			if err != nil {
				panic(err)
			}
			time.Sleep(d)
			return ""
		},
		"freeze": func(a []string) string {
			r := lease.ReadClock()
			h.owner(a[0]).frozen = &r
			return ""
		},
		"fault": func(a []string) string {
			h.store.SetFaults(map[string]memstore.Faults{"none": {}, "down": {Down: true}, "lost-answer": {LoseAnswer: 1}}[a[0]])
			return ""
		},
		"lose-next-answer": func([]string) string {
			h.store.SetFaults(memstore.Faults{LoseAnswer: 1})
			h.group.Go(func() error {
				time.Sleep(time.Millisecond)
				h.store.SetFaults(memstore.Faults{})
				return nil
			})
			return ""
		},
		// begin OWNER RULE KEY [CLAIM]
		"begin": func(a []string) string { return h.begin(a[0], a[1], a[2], a[len(a)-1], 1) },
		// begin-other sends a different request with the key.
		"begin-other": func(a []string) string { return h.begin(a[0], a[1], a[2], a[len(a)-1], 2) },
		"finish": func(a []string) string {
			body := strings.Join(a[2:], " ")
			h.claims[a[0]].Finish(outcome.Outcome(a[1]), &idempotency.Response{Status: 200, Body: []byte(body)})
			time.Sleep(100 * time.Millisecond) // lets the recorder write the row
			return ""
		},
		"abort": func(a []string) string {
			h.claims[a[0]].Abort()
			time.Sleep(100 * time.Millisecond) // lets the recorder write the row
			return ""
		},
		"keys": func(a []string) string { return fmt.Sprint(h.owner(a[0]).table.Len()) },
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts runs the scripts in testdata, whose first lines describe the
// failures that they guard against: a request with a key runs twice, a response
// is returned to the wrong caller, or NotRun is returned for a request that ran.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			play(newHarness(ctx, &group).commands())
			cancel()
			_ = group.Wait()
		})
	})
}

// TestAgainstModel compares the tables with a reference model that never evicts
// a key, under random steps and faults. The tables may return Unknown for a key
// that ran, and reject a key that did not run. But they must grant a claim only
// where the model grants one, and replay only the first response.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 80).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			h := newHarness(ctx, &group)
			problem = h.compare(steps)
			cancel()
			_ = group.Wait()
		})
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one random step. Steps are drawn before synctest starts its virtual
// time, because rapid ends a test with a panic.
type step struct {
	Who, Do, End, Fault string
	Stamped             bool
	Key, Stamp, Seconds int
}

func drawStep(r *rapid.T) step {
	return step{
		Who: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "owner"),
		Do: rapid.SampledFrom([]string{
			"begin", "begin", "begin", "begin", "end", "end", "acquire", "acquire", "renew", "release", "wait", "fault",
		}).Draw(r, "command"),
		End:     rapid.SampledFrom([]string{"finish", "finish", "unknown", "abort"}).Draw(r, "end"),
		Fault:   rapid.SampledFrom([]string{"none", "none", "down", "lost-answer"}).Draw(r, "fault"),
		Stamped: rapid.Bool().Draw(r, "stamped"),
		Key:     rapid.IntRange(0, 5).Draw(r, "key"),
		Stamp:   rapid.IntRange(-8, 4).Draw(r, "stamp"),
		Seconds: rapid.SampledFrom([]int{1, 1, 2, 5, 30, 65}).Draw(r, "seconds"),
	}
}

// key returns the step's key and the rule of the key.
func (s step) key(sinceStart time.Duration) (key, rule string) {
	if s.Stamped {
		return fmt.Sprintf("@%ds/x", max(0, int(sinceStart/time.Second)+s.Stamp)), "Stamped"
	}
	return fmt.Sprintf("booking-%d", s.Key), "Recorded"
}

// model is a reference implementation that never evicts. It maps a key to the
// body of the first response, or to the state of a request without one.
type model map[string]string

// compare runs the steps and returns the first violation, or "".
func (h *harness) compare(steps []step) string {
	commands := h.commands()
	known := model{}
	var open []string
	for i, s := range steps {
		switch s.Do {
		case "begin":
			key, rule := s.key(time.Since(h.start))
			got := h.begin(s.Who, rule, key, key, 1)
			if problem := known.violation(key, got); problem != "" {
				return fmt.Sprintf("step %d: %s: %s", i, s.Who, problem)
			}
			if got == "claim" {
				known[key] = "running"
				open = append(open, key)
			}
		case "end":
			if len(open) > 0 {
				h.end(s.End, open[0], i, known)
				open = open[1:]
			}
		case "wait":
			commands[s.Do]([]string{fmt.Sprintf("%ds", s.Seconds)})
		case "fault":
			commands[s.Do]([]string{s.Fault})
		default:
			commands[s.Do]([]string{s.Who})
		}
	}
	return ""
}

func (m model) violation(key, got string) string {
	first, ok := m[key]
	switch {
	case got == "claim" && ok:
		return "grants a second claim for " + key
	case strings.HasPrefix(got, "response") && got != "response "+first:
		return fmt.Sprintf("replays %q for %s, the first response is %q", got, key, first)
	}
	return ""
}

func (h *harness) end(how, key string, i int, known model) {
	commands := h.commands()
	switch how {
	case "finish":
		known[key] = fmt.Sprintf("step %d", i)
		commands["finish"]([]string{key, "Run", known[key]})
	case "unknown":
		known[key] = "unknown"
		commands["finish"]([]string{key, "Unknown"})
	case "abort":
		delete(known, key)
		commands["abort"]([]string{key})
	}
}

// TestBounds guards against a table that grows beyond MaxKeys, also when keys
// are aborted.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		h := newHarness(ctx, &group)
		h.bounds = [3]int{100, 20, 50}
		commands := h.commands()
		commands["acquire"]([]string{"a"})
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			key := fmt.Sprintf("@%dms/x", i+1)
			is.Equal(h.begin("a", "Stamped", key, "c", 1), "claim")
			if i%2 == 0 {
				h.claims["c"].Abort()
			}
		}
		is.Equal(h.owner("a").table.Len(), 100)
		cancel()
		_ = group.Wait()
	})
}
