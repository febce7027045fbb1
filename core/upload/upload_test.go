package upload_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
	"pollenscale/core/upload"
	"pollenscale/internal/script"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// bench is a store, some couriers and one target for all of them, whose daemon
// keeps the states of attempts.
type bench struct {
	mu       sync.Mutex // held in the functions that couriers call
	ctx      context.Context
	store    *memstore.Store
	couriers map[string]*upload.Queue
	next     map[string]string // what happens to the next delivery of a courier
	ids      map[string]upload.ID
	objects  map[string]string
	runs     map[upload.ID]int
	states   map[upload.Attempt]string
	last     upload.Attempt
	cancel   context.CancelFunc // ends the courier that is delivering
	epoch    fleet.Incarnation  // of the target's daemon
	reach    bool
	sequence uint64
}

func newBench(ctx context.Context) *bench {
	return &bench{
		ctx: ctx, store: memstore.New(), couriers: map[string]*upload.Queue{}, next: map[string]string{},
		ids: map[string]upload.ID{}, objects: map[string]string{}, runs: map[upload.ID]int{},
		states: map[upload.Attempt]string{}, epoch: 1, reach: true,
	}
}

func (b *bench) courier(name string) *upload.Queue {
	if c, ok := b.couriers[name]; ok {
		return c
	}
	c := upload.New(b.store.Tables(), b.store.Objects(), "material", fleet.DaemonID(name), 1,
		upload.WithRandom(func() float64 { return 0 }),
		upload.WithNewUUID(func() string {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.sequence++
			return fmt.Sprintf("%06d", b.sequence)
		}))
	c.Log = slog.New(slog.DiscardHandler)
	c.HasCapacity = func() bool { return true }
	c.OpenAttempt = func() (upload.Attempt, bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.sequence++
		b.last = upload.Attempt{Daemon: fleet.DaemonID(name), Incarnation: 1, Sequence: b.sequence, Target: "t", TargetIncarnation: b.epoch}
		return b.last, true
	}
	c.Deliver = func(_ context.Context, a upload.Attempt, r upload.Record, body io.Reader) (int, error) {
		data, err := io.ReadAll(body)
		if err != nil || fleet.Bytes(len(data)) != r.Size {
			return 0, outcome.New(outcome.NotRun, outcome.BadRequest, "cut off")
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.deliver(name, a, r)
	}
	c.SettleAttempt = func(_ context.Context, a upload.Attempt) (outcome.Outcome, bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.settle(a)
	}
	b.couriers[name] = c
	return c
}

// setTablesDown makes the table service refuse all calls of the couriers.
func (b *bench) setTablesDown(down bool) {
	for _, c := range b.couriers {
		c.Tables = b.store.Tables()
		if !down {
			continue
		}
		c.Tables.Transact = func(context.Context, store.Transaction) (store.Result, error) {
			return store.Result{}, store.ErrUnavailable
		}
		c.Tables.Read = func(context.Context, store.Table, string) (store.Row, time.Time, error) {
			return store.Row{}, time.Time{}, store.ErrUnavailable
		}
	}
}

// arrive is the target's daemon when an attempt arrives.
func (b *bench) arrive(a upload.Attempt, id upload.ID) bool {
	if a.TargetIncarnation != b.epoch || b.states[a] != "" {
		return false
	}
	b.states[a] = "finished"
	b.runs[id]++
	return true
}

func (b *bench) deliver(name string, a upload.Attempt, r upload.Record) (int, error) {
	how := b.next[name]
	delete(b.next, name)
	lost := outcome.New(outcome.Unknown, outcome.ConnectionLost, "")
	switch how {
	case "die-before":
		b.cancel()
		return 0, lost
	case "lose-before":
		return 0, lost
	case "shed":
		return 0, outcome.New(outcome.NotRun, outcome.Overloaded, "")
	}
	if !b.arrive(a, r.ID) {
		return 0, outcome.New(outcome.NotRun, outcome.StaleAttempt, "")
	}
	switch how {
	case "die-during":
		b.states[a] = "running"
		b.cancel()
		return 0, lost
	case "die-after":
		b.cancel()
	case "lose-after":
		return 0, lost
	case "tables-down":
		b.setTablesDown(true)
	case "":
	default:
		status, err := strconv.Atoi(how)
		return status, err
	}
	return 200, nil
}

func (b *bench) settle(a upload.Attempt) (outcome.Outcome, bool, error) {
	switch {
	case !b.reach:
		return "", false, errors.New("no answer")
	case a.TargetIncarnation != b.epoch:
		return outcome.Unknown, false, nil
	case b.states[a] == "" || b.states[a] == "tombstone":
		b.states[a] = "tombstone"
		return outcome.NotRun, false, nil
	}
	return outcome.Run, b.states[a] == "running", nil
}

// accept sends an upload. Names that start with "idem" are idempotent. With a
// key, the name of the id is the key.
func (b *bench) accept(who, name, key string, print uint64) string {
	ctx, cancel := context.WithTimeout(b.ctx, 5*time.Second)
	defer cancel()
	r := upload.Request{
		Service: "material", Organisation: "puente", Method: "PUT", URI: "/" + name, Size: 4,
		Idempotent: strings.HasPrefix(name, "idem"), Key: key, Fingerprint: print,
	}
	record, err := b.courier(who).Accept(ctx, r, strings.NewReader("body"))
	var refused *outcome.Error
	if errors.As(err, &refused) {
		return fmt.Sprintf("%s %s", refused.Outcome, refused.Reason)
	}
	b.ids[name], b.objects[name] = record.ID, record.Object
	return "accepted"
}

func (b *bench) commands() map[string]script.Command {
	deliver := func(a []string) string {
		ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
		defer cancel()
		b.cancel = cancel
		done, err := b.courier(a[0]).DeliverOne(ctx)
		return fmt.Sprintf("%t %t", done, err == nil)
	}
	return map[string]script.Command{
		"accept": func(a []string) string {
			key := ""
			if len(a) > 2 {
				key = a[2]
			}
			return b.accept(a[0], a[1], key, 1)
		},
		"accept-other": func(a []string) string { return b.accept(a[0], a[1], a[2], 2) },
		"accept-cut": func(a []string) string {
			r := upload.Request{Service: "material", Size: 5}
			_, err := b.courier(a[0]).Accept(b.ctx, r, strings.NewReader("body"))
			return string(outcome.Of(err))
		},
		"deliver": deliver,
		// deliver-both lets two couriers pick the same record before either claims it.
		"deliver-both": func(a []string) string {
			b.store.SetFaults(memstore.Faults{Latency: func() time.Duration { return 10 * time.Millisecond }})
			var group errgroup.Group
			for _, who := range a {
				c := b.courier(who)
				group.Go(func() error {
					_, err := c.DeliverOne(b.ctx)
					return err
				})
			}
			_ = group.Wait()
			b.store.SetFaults(memstore.Faults{})
			return ""
		},
		"next": func(a []string) string { b.next[a[0]] = a[1]; return "" },
		// overtake lets another courier take over a claim before its body is read.
		"overtake": func(a []string) string {
			c, get := b.courier(a[0]), b.courier(a[0]).Objects.Get
			c.Objects.Get = func(ctx context.Context, id string) (io.ReadCloser, error) {
				time.Sleep(31 * time.Second)
				if _, err := b.courier(a[1]).DeliverOne(b.ctx); err != nil {
					return nil, err
				}
				return get(b.ctx, id)
			}
			return ""
		},
		// late lets the last attempt arrive now.
		"late": func(a []string) string { return strconv.FormatBool(b.arrive(b.last, b.ids[a[0]])) },
		"finished": func([]string) string {
			for a := range b.states {
				if b.states[a] == "running" {
					b.states[a] = "finished"
				}
			}
			return ""
		},
		"restart":     func([]string) string { b.epoch++; return "" },
		"unreachable": func([]string) string { b.reach = false; return "" },
		"reachable":   func([]string) string { b.reach = true; return "" },
		"wait": func(a []string) string {
			d, err := time.ParseDuration(a[0])
			if err != nil {
				panic(err)
			}
			time.Sleep(d)
			return ""
		},
		"fault": func(a []string) string {
			b.store.SetFaults(map[string]memstore.Faults{"none": {}, "down": {Down: true}, "lost-answer": {LoseAnswer: 1}}[a[0]])
			return ""
		},
		"lose-answers": func(a []string) string {
			left, err := strconv.Atoi(a[0])
			if err != nil {
				panic(err)
			}
			tables := b.store.Tables()
			for _, c := range b.couriers {
				c.Tables.Transact = func(ctx context.Context, t store.Transaction) (store.Result, error) {
					r, err := tables.Transact(ctx, t)
					if left > 0 {
						left--
						return store.Result{}, store.ErrUnavailable
					}
					return r, err
				}
			}
			return ""
		},
		// tables sets the table service down or up, while objects work.
		"tables": func(a []string) string { b.setTablesDown(a[0] == "down"); return "" },
		"runs":   func(a []string) string { return strconv.Itoa(b.runs[b.ids[a[0]]]) },
		"state": func(a []string) string {
			r, err := b.courier("reader").Status(b.ctx, b.ids[a[0]])
			if err != nil {
				return err.Error()
			}
			return string(r.State)
		},
		"body": func(a []string) string {
			if _, err := b.store.Objects().Get(b.ctx, b.objects[a[0]]); err != nil {
				return "gone"
			}
			return "kept"
		},
		"list": func(a []string) string {
			records, err := b.courier("reader").List(b.ctx, "material", upload.State(a[0]), "", 100)
			if err != nil {
				return err.Error()
			}
			return strconv.Itoa(len(records))
		},
		"resume":  func(a []string) string { return fmt.Sprint(b.courier("reader").Resume(b.ctx, b.ids[a[0]])) },
		"dismiss": func(a []string) string { return fmt.Sprint(b.courier("reader").Dismiss(b.ctx, b.ids[a[0]])) },
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts guards against uploads that are lost, delivered twice or refused
// with a false 'not run'. The scripts name the failures.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) { play(newBench(t.Context()).commands()) })
	})
}

// TestAgainstNaive guards against uploads that are lost or run twice for any
// order of deliveries and failures. The naive courier, which delivers every
// record until it gets an answer, runs an upload again after each lost answer.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = newBench(t.Context()).compare(steps) })
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one drawn step. It is drawn before the virtual time starts, since
// rapid ends a test by a panic of its own.
type step struct{ Who, Do, Kind, How, Length string }

func drawStep(r *rapid.T) step {
	return step{
		Who:    rapid.SampledFrom([]string{"a", "b"}).Draw(r, "courier"),
		Do:     rapid.SampledFrom([]string{"accept", "deliver", "deliver", "next", "wait", "restart", "finished", "late"}).Draw(r, "command"),
		Kind:   rapid.SampledFrom([]string{"idem", "once"}).Draw(r, "kind"),
		How:    rapid.SampledFrom([]string{"die-before", "die-during", "die-after", "lose-before", "lose-after", "shed", "500"}).Draw(r, "how"),
		Length: rapid.SampledFrom([]string{"1s", "10s", "40s"}).Draw(r, "length"),
	}
}

// compare plays the steps, delivers what is left, and returns the first problem.
func (b *bench) compare(steps []step) string {
	commands := b.commands()
	var names []string
	for i, s := range steps {
		switch s.Do {
		case "accept":
			name := s.Kind + strconv.Itoa(i)
			if commands[s.Do]([]string{s.Who, name}) == "accepted" {
				names = append(names, name)
			}
		case "next":
			commands[s.Do]([]string{s.Who, s.How})
		case "wait":
			commands[s.Do]([]string{s.Length})
		case "late":
			if len(names) > 0 && b.states[b.last] == "tombstone" && commands[s.Do]([]string{names[0]}) == "true" {
				return "an attempt that was settled as not run has run"
			}
		default:
			commands[s.Do]([]string{s.Who})
		}
	}
	b.next = map[string]string{}
	for range 200 {
		commands["finished"](nil)
		commands["deliver"]([]string{"a"})
		commands["wait"]([]string{"10s"})
	}
	for _, name := range names {
		if problem := b.complete(name, commands); problem != "" {
			return problem
		}
	}
	return ""
}

// complete checks an upload after all deliveries.
func (b *bench) complete(name string, commands map[string]script.Command) string {
	state, runs, body := commands["state"]([]string{name}), b.runs[b.ids[name]], commands["body"]([]string{name})
	switch {
	case runs > 1 && !strings.HasPrefix(name, "idem"):
		return fmt.Sprintf("%s ran %d times", name, runs)
	case state == "Delivered" && runs > 0:
		return ""
	case state == "Parked" && body == "kept" && !strings.HasPrefix(name, "idem"):
		return ""
	}
	return fmt.Sprintf("%s is %s after %d runs, body %s", name, state, runs, body)
}

// TestRunDelivers guards against a loop that stops after a failure or does not
// end with its context.
func TestRunDelivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		b := newBench(t.Context())
		b.cancel = func() {}
		commands := b.commands()
		is.Equal(b.accept("a", "idem", "", 1), "accepted")
		is.Equal(b.accept("a", "once", "", 1), "accepted")
		b.next["a"] = "lose-after"
		commands["fault"]([]string{"down"})
		var group errgroup.Group
		group.Go(func() error { return b.courier("a").Run(ctx) })
		time.Sleep(10 * time.Second)
		is.Equal(b.runs[b.ids["idem"]], 0)
		commands["fault"]([]string{"none"})
		time.Sleep(time.Minute)
		is.NoErr(b.courier("a").Drain(ctx))
		is.Equal(commands["list"]([]string{"Accepted"}), "0")
		cancel()
		is.True(errors.Is(group.Wait(), context.Canceled))
	})
}
