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

// bench is some daemons of one service, which receive each other's reports.
type bench struct {
	names   []string
	lists   map[string]*poison.List
	runs    map[string]*poison.Run
	cut     map[string]bool
	members []fleet.DaemonID
}

func newBench(names ...string) *bench {
	b := &bench{names: names, lists: map[string]*poison.List{}, runs: map[string]*poison.Run{}, cut: map[string]bool{}}
	for _, name := range names {
		b.start(name)
		b.members = append(b.members, fleet.DaemonID(name))
	}
	return b
}

func (b *bench) start(name string) {
	l := poison.New(fleet.DaemonID(name),
		poison.WithMembers(func() []fleet.DaemonID { return b.members }),
		poison.WithSend(func(ctx context.Context, r poison.Report) { b.send(ctx, name, r) }))
	l.MaxEntries = 8
	b.lists[name] = l
}

// send delivers a report to the daemons that are not cut off, and waits for the
// others until ctx ends.
func (b *bench) send(ctx context.Context, from string, r poison.Report) {
	for _, name := range b.names {
		if name != from && !b.cut[name] {
			b.lists[name].Apply(r)
		}
	}
	if len(b.cut) > 0 {
		<-ctx.Done()
	}
}

// print returns the fingerprint of a request. Scripts write "p@a" for a request
// p whose suspect runs are elected to daemon a.
func (b *bench) print(s string) poison.Fingerprint {
	name, elected, ok := strings.Cut(s, "@")
	for i := 0; ; i++ {
		f := poison.FingerprintOf("reservas", "GET", name, "", []byte(strconv.Itoa(i)))
		if got, _ := poison.Elect(f, b.members); !ok || string(got) == elected {
			return f
		}
	}
}

// begin returns "runs", "refused" or "elsewhere HINT". The run is named by
// daemon and request.
func (b *bench) begin(daemon, request string) string {
	run, err := b.lists[daemon].Begin(b.print(request))
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused) && refused.Outcome != outcome.NotRun:
		return "outcome " + string(refused.Outcome)
	case errors.As(err, &refused) && refused.Reason == outcome.Poison:
		return "refused"
	case errors.As(err, &refused):
		return strings.TrimSpace("elsewhere " + refused.Hint)
	}
	b.runs[daemon+" "+request] = run
	return "runs"
}

func (b *bench) commands(ctx context.Context) map[string]script.Command {
	return map[string]script.Command{
		"begin": func(a []string) string { return b.begin(a[0], a[1]) },
		"end":   func(a []string) string { b.runs[a[0]+" "+a[1]].End(ctx, true); return "" },
		"cancel": func(a []string) string {
			b.runs[a[0]+" "+a[1]].End(ctx, false)
			return ""
		},
		"crash": func(a []string) string {
			start := time.Now()
			b.lists[a[0]].Crash(ctx)
			return time.Since(start).String()
		},
		"cut":  func(a []string) string { b.cut[a[0]] = true; return "" },
		"heal": func(a []string) string { delete(b.cut, a[0]); return "" },
		"restart": func(a []string) string {
			b.start(a[0])
			for _, name := range b.names {
				for _, r := range b.lists[name].Snapshot() {
					b.lists[a[0]].Apply(r)
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
			suspects, condemned := b.lists[a[0]].Len()
			return fmt.Sprintf("%d suspects %d condemned", suspects, condemned)
		},
	}
}

func TestMain(m *testing.M) { script.Main(m) }

// TestScripts guards against a request that crashes more than two targets, and
// against harmless requests that are refused. The scripts name the failures.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		synctest.Test(t, func(t *testing.T) { play(newBench("a", "b", "c").commands(t.Context())) })
	})
}

// TestAgainstNaive guards against a second poison request that hides behind the
// first: whatever is sent where, each of two poison requests crashes at most two
// targets, whereas the naive daemon, which runs everything, loses one each time.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 100).Draw(r, "steps")
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = crashes(t.Context(), steps) })
		if problem != "" {
			r.Fatal(problem)
		}
	})
}

// step is one drawn step. It is drawn before the virtual time starts, since
// rapid ends a test by a panic of its own.
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

func crashes(ctx context.Context, steps []step) string {
	b := newBench("a", "b", "c")
	lost := map[string]int{}
	naive := map[string]int{}
	running := map[string][]string{} // by daemon
	for _, s := range steps {
		daemon, request := s.Daemon, s.Request
		if s.End && len(running[daemon]) > 0 {
			b.runs[daemon+" "+running[daemon][0]].End(ctx, true)
			running[daemon] = running[daemon][1:]
			continue
		}
		poisonous := request == "p" || request == "q"
		if poisonous {
			naive[request]++
		}
		if contains(running[daemon], request) || b.begin(daemon, request) != "runs" {
			continue
		}
		if !poisonous {
			running[daemon] = append(running[daemon], request)
			continue
		}
		lost[request]++
		b.lists[daemon].Crash(ctx)
		running[daemon] = nil
		if lost[request] > 2 {
			return fmt.Sprintf("%s crashed %d targets (the naive daemon: %d)", request, lost[request], naive[request])
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

// TestBounds guards against a list that grows with the number of crashes.
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

// TestFingerprint guards against requests that share a fingerprint because
// their parts run together, and against a key that hides the body.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	is.True(poison.FingerprintOf("a", "GET", "/bc", "", nil) != poison.FingerprintOf("a", "GET/", "bc", "", nil))
	is.True(poison.FingerprintOf("a", "GET", "/", "", []byte("x")) != poison.FingerprintOf("a", "GET", "/", "", []byte("y")))
	is.Equal(poison.FingerprintOf("a", "GET", "/", "k", []byte("x")), poison.FingerprintOf("a", "GET", "/", "k", []byte("y")))
	long := make([]byte, poison.BodyBytes+1)
	is.Equal(poison.FingerprintOf("a", "GET", "/", "", long), poison.FingerprintOf("a", "GET", "/", "", long[:poison.BodyBytes]))
}
