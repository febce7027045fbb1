package poison_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/internal/script"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// harness runs several daemons of one service that exchange reports.
type harness struct {
	names       []string
	lists       map[string]*poison.List
	runs        map[string]*poison.Run
	partitioned map[string]bool
	members     []fleet.DaemonID
}

func newHarness(names ...string) *harness {
	h := &harness{names: names, lists: map[string]*poison.List{}, runs: map[string]*poison.Run{}, partitioned: map[string]bool{}}
	for _, name := range names {
		h.start(name)
		h.members = append(h.members, fleet.DaemonID(name))
	}
	return h
}

func (h *harness) start(name string) {
	l := poison.New(fleet.DaemonID(name),
		poison.WithMembers(func() []fleet.DaemonID { return h.members }),
		poison.WithSend(func(ctx context.Context, r poison.Report) { h.send(ctx, name, r) }))
	l.MaxEntries = 8
	h.lists[name] = l
}

// send delivers a report to the daemons that are not partitioned. If any are, it
// waits until ctx is done.
func (h *harness) send(ctx context.Context, from string, r poison.Report) {
	for _, name := range h.names {
		if name != from && !h.partitioned[name] {
			h.lists[name].Apply(r)
		}
	}
	if len(h.partitioned) > 0 {
		<-ctx.Done()
	}
}

// fingerprint returns the fingerprint of a request. In scripts, "p@a" is a
// request p for which daemon a is elected when it is a suspect.
func (h *harness) fingerprint(s string) poison.Fingerprint {
	name, elected, ok := strings.Cut(s, "@")
	for i := 0; ; i++ {
		f := poison.FingerprintOf("reservas", "GET", name, "", []byte(strconv.Itoa(i)))
		if got, _ := poison.Elect(f, h.members); !ok || string(got) == elected {
			return f
		}
	}
}

// begin returns "runs", "refused" for a condemned request, or "overloaded HINT".
// It stores the run under the names of the daemon and the request.
func (h *harness) begin(daemon, request string) string {
	run, err := h.lists[daemon].Begin(h.fingerprint(request))
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused) && refused.Outcome != outcome.NotRun:
		return "outcome " + string(refused.Outcome)
	case errors.As(err, &refused) && refused.Reason == outcome.Poison:
		return "refused"
	case errors.As(err, &refused):
		return strings.TrimSpace("overloaded " + refused.Hint)
	}
	h.runs[daemon+" "+request] = run
	return "runs"
}

func (h *harness) commands(ctx context.Context) map[string]script.Command {
	return map[string]script.Command{
		"begin": func(a []string) string { return h.begin(a[0], a[1]) },
		"end":   func(a []string) string { h.runs[a[0]+" "+a[1]].End(ctx, true); return "" },
		"cancel": func(a []string) string {
			h.runs[a[0]+" "+a[1]].End(ctx, false)
			return ""
		},
		"crash": func(a []string) string {
			start := time.Now()
			h.lists[a[0]].Crash(ctx)
			return time.Since(start).String()
		},
		"partition": func(a []string) string { h.partitioned[a[0]] = true; return "" },
		"reconnect": func(a []string) string { delete(h.partitioned, a[0]); return "" },
		"restart": func(a []string) string {
			h.start(a[0])
			for _, name := range h.names {
				for _, r := range h.lists[name].Snapshot() {
					h.lists[a[0]].Apply(r)
				}
			}
			return ""
		},
		"wait": func(a []string) string {
			d, err := time.ParseDuration(a[0])
			if err != nil {
				panic(err)
			}
			time.Sleep(d)
			return ""
		},
		"known": func(a []string) string {
			suspects, condemned := h.lists[a[0]].Len()
			return fmt.Sprintf("%d suspects %d condemned", suspects, condemned)
		},
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts runs the scripts in testdata, whose first lines describe the
// failures that they guard against: a request crashes more than two targets, or
// a harmless request is refused.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) { play(newHarness("a", "b", "c").commands(t.Context())) })
	})
}

// TestCrashLimit guards against a second poison request that is not detected
// because it runs together with the first. Under random steps, each of two
// poison requests may crash at most two targets. Without protection, each
// request sent would crash one; the failure message gives that number too.
func TestCrashLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 100).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = tooManyCrashes(t.Context(), steps) })
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one random step. Steps are drawn before synctest starts its virtual
// time, because rapid ends a test with a panic.
type step struct {
	Daemon, Request string
	End             bool
}

func drawStep(r *rapid.T) step {
	return step{
		Daemon:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "daemon"),
		Request: rapid.SampledFrom([]string{"p", "q", "g", "h", "i"}).Draw(r, "request"),
		End:     rapid.IntRange(0, 3).Draw(r, "end") == 0,
	}
}

// tooManyCrashes runs the steps and returns a message if a request crashed more
// than two targets.
func tooManyCrashes(ctx context.Context, steps []step) string {
	h := newHarness("a", "b", "c")
	crashes := map[string]int{}
	unprotected := map[string]int{}  // crashes if every request ran
	running := map[string][]string{} // by daemon
	for _, s := range steps {
		daemon, request := s.Daemon, s.Request
		if s.End && len(running[daemon]) > 0 {
			h.runs[daemon+" "+running[daemon][0]].End(ctx, true)
			running[daemon] = running[daemon][1:]
			continue
		}
		isPoison := request == "p" || request == "q"
		if isPoison {
			unprotected[request]++
		}
		if contains(running[daemon], request) || h.begin(daemon, request) != "runs" {
			continue
		}
		if !isPoison {
			running[daemon] = append(running[daemon], request)
			continue
		}
		crashes[request]++
		h.lists[daemon].Crash(ctx)
		running[daemon] = nil
		if crashes[request] > 2 {
			return fmt.Sprintf("%s crashed %d targets (without protection: %d)", request, crashes[request], unprotected[request])
		}
	}
	return ""
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// TestBounds guards against a list that grows without limit as crashes add up.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := poison.New("a")
	l.MaxEntries = 100
	for i := range 1000 {
		for k := range 5 {
			_, _ = l.Begin(poison.FingerprintOf("reservas", "GET", "/", strconv.Itoa(5*i+k), nil))
		}
		l.Crash(context.Background())
	}
	suspects, condemned := l.Len()
	is.True(suspects <= 100)
	is.True(condemned <= 100)
}

// TestFingerprint guards against different requests that share a fingerprint
// because their parts are concatenated without separators. Without a key, the
// first BodyBytes of the body count; with a key, the body does not.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	is.True(poison.FingerprintOf("a", "GET", "/bc", "", nil) != poison.FingerprintOf("a", "GET/", "bc", "", nil))
	is.True(poison.FingerprintOf("a", "GET", "/", "", []byte("x")) != poison.FingerprintOf("a", "GET", "/", "", []byte("y")))
	is.Equal(poison.FingerprintOf("a", "GET", "/", "k", []byte("x")), poison.FingerprintOf("a", "GET", "/", "k", []byte("y")))
	long := make([]byte, poison.BodyBytes+1)
	is.Equal(poison.FingerprintOf("a", "GET", "/", "", long), poison.FingerprintOf("a", "GET", "/", "", long[:poison.BodyBytes]))
}
