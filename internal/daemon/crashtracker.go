package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/serve"
	"pollenscale/io/peer/peerpb"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// crashTracker records the requests in flight as suspects when the target crashes, and
// exchanges the poison list's entries with the other daemons of the service.
type crashTracker struct {
	log        *slog.Logger
	poisonList *poison.List
	self       fleet.Target
	// serviceMembers returns the other daemons of the own service.
	serviceMembers func() []fleet.Target
	// sendReport sends a crash report to the daemon at a peer address.
	sendReport func(context.Context, string, *peerpb.ReportCrashRequest) error

	// syncQueue holds daemons of the service that have just started and have not
	// received the entries yet.
	syncQueue chan fleet.Target

	mu sync.Mutex
	// epoch counts the crashes of the target.
	epoch int
	// knownIncarnations holds the incarnations of the other daemons for which a
	// transfer of all entries was requested.
	knownIncarnations map[fleet.DaemonID]fleet.Incarnation
}

const (
	// maxSyncQueue bounds the daemons that wait for the entries.
	maxSyncQueue = 64
	// reportTimeout bounds reports that no caller waits for.
	reportTimeout = time.Second
)

func newCrashTracker(log *slog.Logger, self fleet.Target) *crashTracker {
	c := &crashTracker{
		log:               log,
		self:              self,
		syncQueue:         make(chan fleet.Target, maxSyncQueue),
		knownIncarnations: map[fleet.DaemonID]fleet.Incarnation{},
	}
	c.poisonList = poison.New(self.Daemon, poison.WithMembers(c.electableDaemons), poison.WithSend(c.broadcast))
	return c
}

// observeDaemon records a daemon of the service. If its process is new, it is queued
// to receive all entries, since its target would otherwise run a poison request once
// more.
func (c *crashTracker) observeDaemon(t fleet.Target) {
	c.mu.Lock()
	known := c.knownIncarnations[t.Daemon] == t.Incarnation
	c.knownIncarnations[t.Daemon] = t.Incarnation
	c.mu.Unlock()
	if known {
		return
	}
	select {
	case c.syncQueue <- t:
	default:
		c.log.Warn("entries not sent; too many daemons are waiting for them.", "daemon", t.Daemon)
	}
}

// runSync sends all entries to daemons that have just started, until ctx ends.
func (c *crashTracker) runSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-c.syncQueue:
			c.sendEntries(ctx, t)
		}
	}
}

func (c *crashTracker) sendEntries(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, r := range c.poisonList.Snapshot() {
		if err := c.sendReport(ctx, t.PeerAddress, c.encodeReport(r)); err != nil {
			c.log.Warn("entries not sent.", "daemon", t.Daemon, "error", err)
			return
		}
	}
}

// electableDaemons returns the daemons whose targets can be elected to run a suspect. A
// target that crashed or left is not eligible, since the suspect would wait until it
// returns. A draining target is, since the suspect may still be running there.
func (c *crashTracker) electableDaemons() []fleet.DaemonID {
	ids := []fleet.DaemonID{c.self.Daemon}
	for _, m := range c.serviceMembers() {
		if m.State != fleet.Leaving {
			ids = append(ids, m.Daemon)
		}
	}
	return ids
}

// fingerprint returns the fingerprint that identifies copies of a request.
func (c *crashTracker) fingerprint(r *call.Request, head []byte) uint64 {
	return uint64(poison.FingerprintOf(r.Service, r.Method, r.Path, r.Key, head))
}

// beforeCall registers a request before it is sent to the target. It returns an error
// if the request must not run there, and otherwise the function to call at its end.
func (c *crashTracker) beforeCall(_ context.Context, r *call.Request) (func(serve.Completion), error) {
	run, err := c.poisonList.Begin(poison.Fingerprint(r.Fingerprint))
	if err != nil {
		return nil, err
	}
	epoch := c.currentEpoch()
	return func(e serve.Completion) {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if e.Reason == outcome.TargetCrashed {
			c.recordCrash(ctx, epoch)
			return
		}
		run.End(ctx, e.Outcome == outcome.Run && e.Reason == "")
	}, nil
}

func (c *crashTracker) currentEpoch() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// recordCrash makes the requests in flight suspects, once for each crash. All of them
// fail at the same time, and the lock makes each wait until the other daemons have
// been informed.
func (c *crashTracker) recordCrash(ctx context.Context, epoch int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		return
	}
	c.epoch++
	report := c.poisonList.Crash(ctx)
	c.log.Warn("the target crashed.", "suspects", len(report.Suspects), "condemned", len(report.Condemned))
}

// broadcast sends a report to the other daemons of the service.
func (c *crashTracker) broadcast(ctx context.Context, r poison.Report) {
	message := c.encodeReport(r)
	var group errgroup.Group
	for _, m := range c.serviceMembers() {
		group.Go(func() error {
			if err := c.sendReport(ctx, m.PeerAddress, message); err != nil {
				c.log.Debug("crash report not confirmed.", "daemon", m.Daemon, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

func (c *crashTracker) encodeReport(r poison.Report) *peerpb.ReportCrashRequest {
	return &peerpb.ReportCrashRequest{
		Daemon:       string(c.self.Daemon),
		Service:      string(c.self.Service),
		Fingerprints: encodeFingerprints(r.Suspects),
		Condemned:    encodeFingerprints(r.Condemned),
		Cleared:      encodeFingerprints(r.Cleared),
		SentAt:       timestamppb.New(time.Now()),
		ForgetAt:     timestamppb.New(r.ForgetAt),
	}
}

// handleReport applies the report of another daemon. ForgetAt is converted to the own
// clock by its distance from SentAt.
func (c *crashTracker) handleReport(_ context.Context, m *peerpb.ReportCrashRequest) (*peerpb.ReportCrashResponse, error) {
	if fleet.Service(m.GetService()) != c.self.Service {
		return nil, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	c.poisonList.Apply(poison.Report{
		Daemon:    fleet.DaemonID(m.GetDaemon()),
		Suspects:  decodeFingerprints(m.GetFingerprints()),
		Condemned: decodeFingerprints(m.GetCondemned()),
		Cleared:   decodeFingerprints(m.GetCleared()),
		ForgetAt:  time.Now().Add(m.GetForgetAt().AsTime().Sub(m.GetSentAt().AsTime())),
	})
	return &peerpb.ReportCrashResponse{}, nil
}

func encodeFingerprints(list []poison.Fingerprint) []uint64 {
	encoded := make([]uint64, len(list))
	for i, f := range list {
		encoded[i] = uint64(f)
	}
	return encoded
}

func decodeFingerprints(list []uint64) []poison.Fingerprint {
	decoded := make([]poison.Fingerprint, len(list))
	for i, f := range list {
		decoded[i] = poison.Fingerprint(f)
	}
	return decoded
}
