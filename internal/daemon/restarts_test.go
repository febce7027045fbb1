package daemon

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/standin/memstore"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// restartsFlag is small by default; long runs set it, as in
// `go test -run TestRollingRestarts -timeout 0 -args -restarts 100`.
var restartsFlag = flag.Int("restarts", 2, "number of daemon restarts")

const (
	// workersPerKind is the number of callers that send each kind of request.
	workersPerKind = 3
	// settleTime lets the other daemons learn of a restarted one.
	settleTime = 600 * time.Millisecond
	// longEvery is how many requests there are for each long one, which is under
	// way when its daemon is told to stop.
	longEvery = 20
)

// restartKind is a kind of request that is sent during the restarts.
type restartKind struct {
	Name, Path string
	Keyed      bool
}

// restartRun is the load during restarts.
type restartRun struct {
	fleet *testFleet
	stop  chan struct{}

	mu sync.Mutex
	// answered are the requests that were answered and are not yet checked.
	answered []string
	total    int
	// cut counts the requests that were not answered as they should.
	cut int
	// restarted counts the restarts, last is the daemon that restarted or is
	// restarting; both are for messages.
	restarted int
	last      fleet.DaemonID
}

// TestRollingRestarts guards against requests that are cut or run twice while
// the daemons of a fleet restart one after the other, targets and entries.
func TestRollingRestarts(t *testing.T) {
	var kinds []restartKind
	loadJSON(t, "restarts.json", &kinds)
	s := memstore.New()
	f := startStoreFleet(t, s, "desk", "desk", "agenda", "agenda", "agenda")
	owners := &keyRun{fleet: f, store: s}
	owners.waitOwners(t, 0)
	owners.waitOwners(t, 1)
	r := &restartRun{fleet: f, stop: make(chan struct{})}
	var group errgroup.Group
	for _, kind := range kinds {
		for worker := range workersPerKind {
			group.Go(func() error { return r.send(t, kind, worker) })
		}
	}
	for n := range *restartsFlag {
		time.Sleep(settleTime)
		order := len(f.nodes) - 1 - n%len(f.nodes) // targets first
		r.mu.Lock()
		r.restarted, r.last = n+1, f.nodes[order].Own.Daemon
		r.mu.Unlock()
		f.restart(t, f.nodes[order], false)
		if err := r.check(); err != nil {
			t.Errorf("after restart %d, of %s: %v", r.restarted, r.last, err)
			break
		}
	}
	close(r.stop)
	err := group.Wait()
	t.Logf("%d restarts, %d requests, %d cut", r.restarted, r.total, r.cut)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(r.check())
}

// send sends requests of a kind until the load stops or one fails. A caller
// goes to the other entry when an answer closes its connection.
func (r *restartRun) send(t *testing.T, kind restartKind, worker int) error {
	for n, entry := 0, worker%2; ; n++ {
		select {
		case <-r.stop:
			return nil
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", kind.Name, worker, n)
		header := map[string]string{"Standin-Id": id, "Standin-Service-Time": "3ms"}
		if n%longEvery == 0 {
			header["Standin-Service-Time"] = "300ms"
		}
		if kind.Keyed {
			header["Idempotency-Key"] = uuid.Must(uuid.NewV7()).String()
		}
		start := time.Now()
		s, err := r.fleet.post(t.Context(), entry, http.MethodPost, kind.Path, id, header)
		if err != nil || s.status != http.StatusOK {
			return r.failed("%s at entry %d after %v: %d %s %s %s %v", id, entry, time.Since(start), s.status, s.outcome, s.reason, s.body, err)
		}
		r.mu.Lock()
		r.answered = append(r.answered, id)
		r.total++
		r.mu.Unlock()
		if s.closing {
			entry = 1 - entry
		}
	}
}

// failed counts a request that was cut, and says when.
func (r *restartRun) failed(format string, args ...any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut++
	return errors.Wrapf(errors.Newf(format, args...), "at restart %d, of %s", r.restarted, r.last)
}

// check checks that the requests answered since the last check ran, and that
// none in the logs of the targets ran twice.
func (r *restartRun) check() error {
	r.mu.Lock()
	answered := r.answered
	r.answered = nil
	r.mu.Unlock()
	runs := map[string]int{}
	for _, m := range r.fleet.nodes {
		for _, ran := range m.target.Log() {
			runs[ran.ID]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			return errors.Newf("%s ran %d times", id, n)
		}
	}
	for _, id := range answered {
		if runs[id] != 1 {
			return errors.Newf("%s was answered and did not run", id)
		}
	}
	return nil
}
