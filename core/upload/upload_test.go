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

// harness runs the queues of several daemons on a shared store, with one target
// for all of them, whose daemon holds the states of the attempts.
type harness struct {
	mu           sync.Mutex // held in the functions that queues call
	ctx          context.Context
	store        *memstore.Store
	queues       map[string]*upload.Queue
	nextDelivery map[string]string // fault of the next delivery, by queue
	ids          map[string]upload.ID
	objects      map[string]string
	runs         map[upload.ID]int
	states       map[upload.Attempt]string
	lastAttempt  upload.Attempt
	cancel       context.CancelFunc // cancels the current delivery
	incarnation  fleet.Incarnation  // of the target's daemon
	reachable    bool
	sequence     uint64
}

func newHarness(ctx context.Context) *harness {
	return &harness{
		ctx: ctx, store: memstore.New(), queues: map[string]*upload.Queue{}, nextDelivery: map[string]string{},
		ids: map[string]upload.ID{}, objects: map[string]string{}, runs: map[upload.ID]int{},
		states: map[upload.Attempt]string{}, incarnation: 1, reachable: true,
	}
}

func (h *harness) queue(name string) *upload.Queue {
	if q, ok := h.queues[name]; ok {
		return q
	}
	q := upload.New(h.store.Tables(), h.store.Objects(), "material", fleet.DaemonID(name), 1,
		upload.WithRandom(func() float64 { return 0 }),
		upload.WithNewUUID(func() string {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.sequence++
			return fmt.Sprintf("%06d", h.sequence)
		}))
	q.Log = slog.New(slog.DiscardHandler)
	q.HasCapacity = func() bool { return true }
	q.OpenAttempt = func() (upload.Attempt, bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sequence++
		h.lastAttempt = upload.Attempt{Daemon: fleet.DaemonID(name), Incarnation: 1, Sequence: h.sequence, Target: "t", TargetIncarnation: h.incarnation}
		return h.lastAttempt, true
	}
	q.Deliver = func(_ context.Context, a upload.Attempt, r upload.Record, body io.Reader) (int, error) {
		data, err := io.ReadAll(body)
		if err != nil || fleet.Bytes(len(data)) != r.Size {
			return 0, outcome.New(outcome.NotRun, outcome.BadRequest, "cut off")
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.deliver(name, a, r)
	}
	q.SettleAttempt = func(_ context.Context, a upload.Attempt) (outcome.Outcome, bool, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.settle(a)
	}
	h.queues[name] = q
	return q
}

// setTablesDown makes the table service unavailable for all queues.
func (h *harness) setTablesDown(down bool) {
	for _, q := range h.queues {
		q.Tables = h.store.Tables()
		if !down {
			continue
		}
		q.Tables.Transact = func(context.Context, store.Transaction) (store.Result, error) {
			return store.Result{}, store.ErrUnavailable
		}
		q.Tables.Read = func(context.Context, store.Table, string) (store.Row, time.Time, error) {
			return store.Row{}, time.Time{}, store.ErrUnavailable
		}
	}
}

// arrive models the arrival of an attempt at the target's daemon. It reports
// whether the attempt ran.
func (h *harness) arrive(a upload.Attempt, id upload.ID) bool {
	if a.TargetIncarnation != h.incarnation || h.states[a] != "" {
		return false
	}
	h.states[a] = "finished"
	h.runs[id]++
	return true
}

func (h *harness) deliver(name string, a upload.Attempt, r upload.Record) (int, error) {
	fault := h.nextDelivery[name]
	delete(h.nextDelivery, name)
	lost := outcome.New(outcome.Unknown, outcome.ConnectionLost, "")
	switch fault {
	case "crash-before":
		h.cancel()
		return 0, lost
	case "lose-before":
		return 0, lost
	case "shed":
		return 0, outcome.New(outcome.NotRun, outcome.Overloaded, "")
	}
	if !h.arrive(a, r.ID) {
		return 0, outcome.New(outcome.NotRun, outcome.StaleAttempt, "")
	}
	switch fault {
	case "crash-during":
		h.states[a] = "running"
		h.cancel()
		return 0, lost
	case "crash-after":
		h.cancel()
	case "lose-after":
		return 0, lost
	case "tables-down":
		h.setTablesDown(true)
	case "":
	default:
		status, err := strconv.Atoi(fault)
		return status, err
	}
	return 200, nil
}

func (h *harness) settle(a upload.Attempt) (outcome.Outcome, bool, error) {
	switch {
	case !h.reachable:
		return "", false, errors.New("no answer")
	case a.TargetIncarnation != h.incarnation:
		return outcome.Unknown, false, nil
	case h.states[a] == "" || h.states[a] == "tombstone":
		h.states[a] = "tombstone"
		return outcome.NotRun, false, nil
	}
	return outcome.Run, h.states[a] == "running", nil
}

// accept sends an upload to a queue. Uploads whose names start with "idem" are
// idempotent. The key may be empty.
func (h *harness) accept(who, name, key string, fingerprint uint64) string {
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	r := upload.Request{
		Service: "material", Organisation: "puente", Method: "PUT", URI: "/" + name, Size: 4,
		Idempotent: strings.HasPrefix(name, "idem"), Key: key, Fingerprint: fingerprint,
	}
	record, err := h.queue(who).Accept(ctx, r, strings.NewReader("body"))
	var refused *outcome.Error
	if errors.As(err, &refused) {
		return fmt.Sprintf("%s %s", refused.Outcome, refused.Reason)
	}
	h.ids[name], h.objects[name] = record.ID, record.Object
	return "accepted"
}

func (h *harness) commands() map[string]script.Command {
	deliver := func(a []string) string {
		ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
		defer cancel()
		h.cancel = cancel
		done, err := h.queue(a[0]).DeliverOne(ctx)
		return fmt.Sprintf("%t %t", done, err == nil)
	}
	return map[string]script.Command{
		"accept": func(a []string) string {
			key := ""
			if len(a) > 2 {
				key = a[2]
			}
			return h.accept(a[0], a[1], key, 1)
		},
		"accept-other": func(a []string) string { return h.accept(a[0], a[1], a[2], 2) },
		"accept-truncated": func(a []string) string {
			r := upload.Request{Service: "material", Size: 5}
			_, err := h.queue(a[0]).Accept(h.ctx, r, strings.NewReader("body"))
			return string(outcome.Of(err))
		},
		"deliver": deliver,
		// deliver-both makes two queues pick the same record before either claims it.
		"deliver-both": func(a []string) string {
			h.store.SetFaults(memstore.Faults{Latency: func() time.Duration { return 10 * time.Millisecond }})
			var group errgroup.Group
			for _, who := range a {
				q := h.queue(who)
				group.Go(func() error {
					_, err := q.DeliverOne(h.ctx)
					return err
				})
			}
			_ = group.Wait()
			h.store.SetFaults(memstore.Faults{})
			return ""
		},
		"next": func(a []string) string { h.nextDelivery[a[0]] = a[1]; return "" },
		// take-over makes another queue take over the claim before the body is read.
		"take-over": func(a []string) string {
			q, get := h.queue(a[0]), h.queue(a[0]).Objects.Get
			q.Objects.Get = func(ctx context.Context, id string) (io.ReadCloser, error) {
				time.Sleep(31 * time.Second)
				if _, err := h.queue(a[1]).DeliverOne(h.ctx); err != nil {
					return nil, err
				}
				return get(h.ctx, id)
			}
			return ""
		},
		// late makes the last attempt arrive now.
		"late": func(a []string) string { return strconv.FormatBool(h.arrive(h.lastAttempt, h.ids[a[0]])) },
		"finished": func([]string) string {
			for a := range h.states {
				if h.states[a] == "running" {
					h.states[a] = "finished"
				}
			}
			return ""
		},
		"restart":     func([]string) string { h.incarnation++; return "" },
		"unreachable": func([]string) string { h.reachable = false; return "" },
		"reachable":   func([]string) string { h.reachable = true; return "" },
		"wait": func(a []string) string {
			d, err := time.ParseDuration(a[0])
			if err != nil {
				panic(err)
			}
			time.Sleep(d)
			return ""
		},
		"fault": func(a []string) string {
			h.store.SetFaults(map[string]memstore.Faults{"none": {}, "down": {Down: true}, "lost-answer": {LoseAnswer: 1}}[a[0]])
			return ""
		},
		"lose-answers": func(a []string) string {
			left, err := strconv.Atoi(a[0])
			if err != nil {
				panic(err)
			}
			tables := h.store.Tables()
			for _, q := range h.queues {
				q.Tables.Transact = func(ctx context.Context, t store.Transaction) (store.Result, error) {
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
		// tables makes the table service unavailable or available; the object store
		// works in both cases.
		"tables": func(a []string) string { h.setTablesDown(a[0] == "down"); return "" },
		"runs":   func(a []string) string { return strconv.Itoa(h.runs[h.ids[a[0]]]) },
		"state": func(a []string) string {
			r, err := h.queue("reader").Status(h.ctx, h.ids[a[0]])
			if err != nil {
				return err.Error()
			}
			return string(r.State)
		},
		"body": func(a []string) string {
			if _, err := h.store.Objects().Get(h.ctx, h.objects[a[0]]); err != nil {
				return "gone"
			}
			return "kept"
		},
		"list": func(a []string) string {
			records, err := h.queue("reader").List(h.ctx, "material", upload.State(a[0]), "", 100)
			if err != nil {
				return err.Error()
			}
			return strconv.Itoa(len(records))
		},
		"resume":  func(a []string) string { return fmt.Sprint(h.queue("reader").Resume(h.ctx, h.ids[a[0]])) },
		"dismiss": func(a []string) string { return fmt.Sprint(h.queue("reader").Dismiss(h.ctx, h.ids[a[0]])) },
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts runs the scripts in testdata, whose first lines describe the
// failures that they guard against: uploads are lost, run twice, or are refused
// with NotRun although they were accepted.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) { play(newHarness(t.Context()).commands()) })
	})
}

// TestRandomFaults guards against uploads that are lost or run twice under random
// orders of deliveries and faults. An implementation that delivers every record
// until it gets a response would run an upload again after each lost response.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 60).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = newHarness(t.Context()).run(steps) })
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one random step. Steps are drawn before synctest starts its virtual
// time, because rapid ends a test with a panic.
type step struct{ Who, Do, Kind, Fault, Wait string }

func drawStep(r *rapid.T) step {
	return step{
		Who:   rapid.SampledFrom([]string{"a", "b"}).Draw(r, "queue"),
		Do:    rapid.SampledFrom([]string{"accept", "deliver", "deliver", "next", "wait", "restart", "finished", "late"}).Draw(r, "command"),
		Kind:  rapid.SampledFrom([]string{"idem", "once"}).Draw(r, "kind"),
		Fault: rapid.SampledFrom([]string{"crash-before", "crash-during", "crash-after", "lose-before", "lose-after", "shed", "500"}).Draw(r, "fault"),
		Wait:  rapid.SampledFrom([]string{"1s", "10s", "40s"}).Draw(r, "wait"),
	}
}

// run runs the steps, delivers the remaining uploads, and returns the first
// violation, or "".
func (h *harness) run(steps []step) string {
	commands := h.commands()
	var names []string
	for i, s := range steps {
		switch s.Do {
		case "accept":
			name := s.Kind + strconv.Itoa(i)
			if commands[s.Do]([]string{s.Who, name}) == "accepted" {
				names = append(names, name)
			}
		case "next":
			commands[s.Do]([]string{s.Who, s.Fault})
		case "wait":
			commands[s.Do]([]string{s.Wait})
		case "late":
			if len(names) > 0 && h.states[h.lastAttempt] == "tombstone" && commands[s.Do]([]string{names[0]}) == "true" {
				return "an attempt that was settled as NotRun has run"
			}
		default:
			commands[s.Do]([]string{s.Who})
		}
	}
	h.nextDelivery = map[string]string{}
	for range 200 {
		commands["finished"](nil)
		commands["deliver"]([]string{"a"})
		commands["wait"]([]string{"10s"})
	}
	for _, name := range names {
		if problem := h.checkDelivered(name, commands); problem != "" {
			return problem
		}
	}
	return ""
}

// checkDelivered checks the state of an upload after all deliveries. It returns
// the violation, or "".
func (h *harness) checkDelivered(name string, commands map[string]script.Command) string {
	state, runs, body := commands["state"]([]string{name}), h.runs[h.ids[name]], commands["body"]([]string{name})
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

// TestRunDelivers guards against a delivery loop that stops after a failure or
// does not end when its context is cancelled.
func TestRunDelivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t.Context())
		h.cancel = func() {}
		commands := h.commands()
		is.Equal(h.accept("a", "idem", "", 1), "accepted")
		is.Equal(h.accept("a", "once", "", 1), "accepted")
		h.nextDelivery["a"] = "lose-after"
		commands["fault"]([]string{"down"})
		var group errgroup.Group
		group.Go(func() error { return h.queue("a").Run(ctx) })
		time.Sleep(10 * time.Second)
		is.Equal(h.runs[h.ids["idem"]], 0)
		commands["fault"]([]string{"none"})
		time.Sleep(time.Minute)
		is.NoErr(h.queue("a").Drain(ctx))
		is.Equal(commands["list"]([]string{"Accepted"}), "0")
		cancel()
		is.True(errors.Is(group.Wait(), context.Canceled))
	})
}
