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

// bench is a store and some owners of one key slot.
type bench struct {
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
	// frozen is the reading of a process that was paused right after it.
	frozen *lease.Reading
}

func newBench(ctx context.Context, group *errgroup.Group) *bench {
	return &bench{
		ctx: ctx, group: group, start: time.Now(), store: memstore.New(),
		owners: map[string]*owner{}, claims: map[string]*idempotency.Claim{},
		bounds: [3]int{4, 20, 50},
	}
}

func (b *bench) owner(name string) *owner {
	if o, ok := b.owners[name]; ok {
		return o
	}
	o := &owner{}
	clock := func() lease.Reading {
		if o.frozen != nil {
			return *o.frozen
		}
		return lease.ReadClock()
	}
	o.holder = lease.New(b.store.Tables(), fleet.DaemonID(name), 1, lease.WithClock(clock),
		lease.WithVacant(func() []lease.Name { return []lease.Name{slot} }))
	recorder := idempotency.NewRecorder(b.store.Tables(), fleet.DaemonID(name), 1)
	b.group.Go(func() error { return recorder.Run(b.ctx) })
	o.table = idempotency.New(slot, o.holder.Grant, idempotency.WithClock(clock),
		idempotency.WithRecorder(recorder), idempotency.WithBounds(b.bounds[0], b.bounds[1], b.bounds[2]))
	b.owners[name] = o
	return o
}

// key parses "@5s/x" as a UUIDv7 stamped five seconds after the start, and
// "acme:@5s/x" as the same key of another organisation.
func (b *bench) key(s string) idempotency.Key {
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
		value = stamped(b.start.Add(d), suffix)
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

// begin returns "claim", "answer BODY" or "OUTCOME REASON".
func (b *bench) begin(who, rule, key, claim string, f idempotency.Fingerprint) string {
	ctx, cancel := context.WithTimeout(b.ctx, 5*time.Second)
	defer cancel()
	c, answer, err := b.owner(who).table.Begin(ctx, policy.KeyRule(rule), b.key(key), f)
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return fmt.Sprintf("%s %s", refused.Outcome, refused.Reason)
	case answer != nil:
		return "answer " + string(answer.Body)
	}
	b.claims[claim] = c
	return "claim"
}

func (b *bench) commands() map[string]script.Command {
	ok := func(err error) string {
		if err != nil {
			return "error"
		}
		return "ok"
	}
	return map[string]script.Command{
		"acquire": func(a []string) string { return ok(b.owner(a[0]).holder.Acquire(b.ctx)) },
		"renew":   func(a []string) string { return ok(b.owner(a[0]).holder.Renew(b.ctx)) },
		"release": func(a []string) string {
			ctx, cancel := context.WithTimeout(b.ctx, time.Second)
			defer cancel()
			upTo := b.owner(a[0]).table.Drain(ctx)
			return ok(b.owner(a[0]).holder.Release(b.ctx, slot, upTo))
		},
		"start-drain": func(a []string) string {
			b.group.Go(func() error {
				b.owner(a[0]).table.Drain(b.ctx)
				return nil
			})
			time.Sleep(time.Millisecond)
			return ""
		},
		"drain": func(a []string) string { return b.owner(a[0]).table.Drain(b.ctx).Sub(b.start).String() },
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
			b.owner(a[0]).frozen = &r
			return ""
		},
		"fault": func(a []string) string {
			b.store.SetFaults(map[string]memstore.Faults{"none": {}, "down": {Down: true}, "lost-answer": {LoseAnswer: 1}}[a[0]])
			return ""
		},
		"lose-next-answer": func([]string) string {
			b.store.SetFaults(memstore.Faults{LoseAnswer: 1})
			b.group.Go(func() error {
				time.Sleep(time.Millisecond)
				b.store.SetFaults(memstore.Faults{})
				return nil
			})
			return ""
		},
		// begin OWNER RULE KEY [CLAIM]
		"begin": func(a []string) string { return b.begin(a[0], a[1], a[2], a[len(a)-1], 1) },
		// begin-other sends another request with the key.
		"begin-other": func(a []string) string { return b.begin(a[0], a[1], a[2], a[len(a)-1], 2) },
		"finish": func(a []string) string {
			body := strings.Join(a[2:], " ")
			b.claims[a[0]].Finish(outcome.Outcome(a[1]), &idempotency.Response{Status: 200, Body: []byte(body)})
			time.Sleep(100 * time.Millisecond) // for the recorder
			return ""
		},
		"abort": func(a []string) string {
			b.claims[a[0]].Abort()
			time.Sleep(100 * time.Millisecond) // for the recorder
			return ""
		},
		"keys": func(a []string) string { return fmt.Sprint(b.owner(a[0]).table.Len()) },
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts guards against keys that run twice, answers that reach the wrong
// caller, and false 'not run'. The scripts name the failures.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			play(newBench(ctx, &group).commands())
			cancel()
			_ = group.Wait()
		})
	})
}

// TestAgainstNaive guards against any difference from a map that never forgets,
// other than the answer 'unknown': a key that ran may be answered 'unknown', and
// a key that never ran may be refused, but a claim is given only where the map
// gives one, and an answer is the first answer.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 80).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			b := newBench(ctx, &group)
			problem = b.compare(steps)
			cancel()
			_ = group.Wait()
		})
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one drawn step. It is drawn before the virtual time starts, since
// rapid ends a test by a panic of its own.
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

// key returns the key of a step and its rule.
func (s step) key(sinceStart time.Duration) (key, rule string) {
	if s.Stamped {
		return fmt.Sprintf("@%ds/x", max(0, int(sinceStart/time.Second)+s.Stamp)), "Stamped"
	}
	return fmt.Sprintf("booking-%d", s.Key), "Recorded"
}

// naive is a map of keys that never forgets: to the first answer, or to what is
// known instead.
type naive map[string]string

// compare plays the steps and returns the first difference.
func (b *bench) compare(steps []step) string {
	commands := b.commands()
	known := naive{}
	var open []string
	for i, s := range steps {
		switch s.Do {
		case "begin":
			key, rule := s.key(time.Since(b.start))
			got := b.begin(s.Who, rule, key, key, 1)
			if problem := known.differs(key, got); problem != "" {
				return fmt.Sprintf("step %d: %s: %s", i, s.Who, problem)
			}
			if got == "claim" {
				known[key] = "running"
				open = append(open, key)
			}
		case "end":
			if len(open) > 0 {
				b.end(s.End, open[0], i, known)
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

func (n naive) differs(key, got string) string {
	first, ok := n[key]
	switch {
	case got == "claim" && ok:
		return "gives a second claim for " + key
	case strings.HasPrefix(got, "answer") && got != "answer "+first:
		return fmt.Sprintf("repeats %q for %s, the first answer is %q", got, key, first)
	}
	return ""
}

func (b *bench) end(how, key string, i int, known naive) {
	commands := b.commands()
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

// TestBounds guards against a table whose memory grows with the number of keys
// and the size of answers, also when keys are aborted.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		b := newBench(ctx, &group)
		b.bounds = [3]int{100, 20, 50}
		commands := b.commands()
		commands["acquire"]([]string{"a"})
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			key := fmt.Sprintf("@%dms/x", i+1)
			is.Equal(b.begin("a", "Stamped", key, "c", 1), "claim")
			if i%2 == 0 {
				b.claims["c"].Abort()
			}
		}
		is.Equal(b.owner("a").table.Len(), 100)
		cancel()
		_ = group.Wait()
	})
}
