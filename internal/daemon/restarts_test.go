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

// restartsFlag has a small default. Long runs set it, as in
// `go test -run TestRollingRestarts -timeout 0 -args -restarts 100`.
var restartsFlag = flag.Int("restarts", 2, "number of daemon restarts")

const (
	// workersPerKind is the number of callers that send each kind of request.
	workersPerKind = 3
	// settleTime is the pause before each restart, in which the other daemons learn of
	// the previous one.
	settleTime = 600 * time.Millisecond
	// longRequestInterval makes one request in so many a long one, so that some are in
	// flight when their daemon is stopped.
	longRequestInterval = 20
)

// restartKind is a kind of request sent during the restarts.
type restartKind struct {
	Name, Path string
	Keyed      bool
}

// restartRun is the load during the restarts.
type restartRun struct {
	fleet *testFleet
	stop  chan struct{}

	mu sync.Mutex
	// answered holds the IDs of the answered requests that are not checked yet.
	answered []string
	total    int
	// failedCount counts the requests that failed.
	failedCount int
	// restarted is the number of restarts, and lastRestarted the daemon of the latest
	// one. Both are for messages.
	restarted     int
	lastRestarted fleet.DaemonID
}

// TestRollingRestarts guards against requests that fail or run twice while the daemons of
// a fleet, of targets and entries, restart one after the other.
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
		index := len(f.nodes) - 1 - n%len(f.nodes) // targets first
		r.mu.Lock()
		r.restarted, r.lastRestarted = n+1, f.nodes[index].Self.Daemon
		r.mu.Unlock()
		f.restart(t, f.nodes[index], false)
		if err := r.checkExecutions(); err != nil {
			t.Errorf("after restart %d, of %s: %v", r.restarted, r.lastRestarted, err)
			break
		}
	}
	close(r.stop)
	err := group.Wait()
	t.Logf("%d restarts, %d requests, %d failed", r.restarted, r.total, r.failedCount)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(r.checkExecutions())
}

// send sends requests of a kind until the load stops or one fails. It switches to the
// other entry when an answer asks it to close its connection.
func (r *restartRun) send(t *testing.T, kind restartKind, worker int) error {
	for n, entry := 0, worker%2; ; n++ {
		select {
		case <-r.stop:
			return nil
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", kind.Name, worker, n)
		header := map[string]string{"Standin-Id": id, "Standin-Service-Time": "3ms"}
		if n%longRequestInterval == 0 {
			header["Standin-Service-Time"] = "300ms"
		}
		if kind.Keyed {
			header["Idempotency-Key"] = uuid.Must(uuid.NewV7()).String()
		}
		start := time.Now()
		s, err := r.fleet.post(t.Context(), entry, http.MethodPost, kind.Path, id, header)
		if err != nil || s.status != http.StatusOK {
			return r.recordFailure("%s at entry %d after %v: %d %s %s %s %v", id, entry, time.Since(start), s.status, s.outcome, s.reason, s.body, err)
		}
		r.mu.Lock()
		r.answered = append(r.answered, id)
		r.total++
		r.mu.Unlock()
		if s.closeRequested {
			entry = 1 - entry
		}
	}
}

// recordFailure counts a failed request, and adds the latest restart to the error.
func (r *restartRun) recordFailure(format string, args ...any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedCount++
	return errors.Wrapf(errors.Newf(format, args...), "at restart %d, of %s", r.restarted, r.lastRestarted)
}

// checkExecutions checks that the requests answered since the last call ran, and that no
// request in the logs of the targets ran twice.
func (r *restartRun) checkExecutions() error {
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
			return errors.Newf("%s was answered but did not run", id)
		}
	}
	return nil
}
