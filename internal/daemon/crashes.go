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

// crashes marks the requests that were in flight when the target crashed, and
// exchanges the marks with the other daemons of the service.
type crashes struct {
	log  *slog.Logger
	list *poison.List
	own  fleet.Target
	// members returns the other daemons of the own service.
	members func() []fleet.Target
	// report sends a report to the daemon at a peer address.
	report func(context.Context, string, *peerpb.ReportCrashRequest) error

	// started are daemons of the service that know no marks yet.
	started chan fleet.Target

	mu sync.Mutex
	// epoch counts the crashes of the target.
	epoch int
	// met holds the processes of the other daemons that were told all marks.
	met map[fleet.DaemonID]fleet.Incarnation
}

const (
	// startedDaemons bounds the daemons that wait for the marks.
	startedDaemons = 64
	// reportTimeout bounds reports that no caller waits for.
	reportTimeout = time.Second
)

func newCrashes(log *slog.Logger, own fleet.Target) *crashes {
	c := &crashes{
		log:     log,
		own:     own,
		started: make(chan fleet.Target, startedDaemons),
		met:     map[fleet.DaemonID]fleet.Incarnation{},
	}
	c.list = poison.New(own.Daemon, poison.WithMembers(c.ids), poison.WithSend(c.send))
	return c
}

// meet notes a daemon of the service. One that has just started is told all
// marks, since it would run a poison request once more.
func (c *crashes) meet(t fleet.Target) {
	c.mu.Lock()
	known := c.met[t.Daemon] == t.Incarnation
	c.met[t.Daemon] = t.Incarnation
	c.mu.Unlock()
	if known {
		return
	}
	select {
	case c.started <- t:
	default:
		c.log.Warn("marks not sent.", "daemon", t.Daemon)
	}
}

// run tells the marks to daemons that have started, until ctx ends.
func (c *crashes) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-c.started:
			c.tell(ctx, t)
		}
	}
}

func (c *crashes) tell(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, r := range c.list.Snapshot() {
		if err := c.report(ctx, t.PeerAddress, c.message(r)); err != nil {
			c.log.Warn("marks not sent.", "daemon", t.Daemon, "error", err)
			return
		}
	}
}

// ids returns the daemons whose targets can be elected to run a suspect. A
// target that crashed or is gone would hold the suspect back until it returns.
// A draining target stays eligible, since the suspect may still run there.
func (c *crashes) ids() []fleet.DaemonID {
	ids := []fleet.DaemonID{c.own.Daemon}
	for _, m := range c.members() {
		if m.State != fleet.Leaving {
			ids = append(ids, m.Daemon)
		}
	}
	return ids
}

// fingerprint identifies a request that is sent again.
func (c *crashes) fingerprint(r *call.Request, head []byte) uint64 {
	return uint64(poison.FingerprintOf(r.Service, r.Method, r.Path, r.Key, head))
}

// handover is called before a request is handed to the target.
func (c *crashes) handover(_ context.Context, r *call.Request) (func(serve.Completion), error) {
	run, err := c.list.Begin(poison.Fingerprint(r.Fingerprint))
	if err != nil {
		return nil, err
	}
	epoch := c.current()
	return func(e serve.Completion) {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if e.Reason == outcome.TargetCrashed {
			c.crashed(ctx, epoch)
			return
		}
		run.End(ctx, e.Outcome == outcome.Run && e.Reason == "")
	}, nil
}

func (c *crashes) current() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// crashed marks the requests in flight, once for each crash: all of them fail
// at the same time, and each waits here until the others are told.
func (c *crashes) crashed(ctx context.Context, epoch int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		return
	}
	c.epoch++
	report := c.list.Crash(ctx)
	c.log.Warn("the target crashed.", "suspects", len(report.Suspects), "condemned", len(report.Condemned))
}

// send passes a report to the other daemons of the service.
func (c *crashes) send(ctx context.Context, r poison.Report) {
	message := c.message(r)
	var group errgroup.Group
	for _, m := range c.members() {
		group.Go(func() error {
			if err := c.report(ctx, m.PeerAddress, message); err != nil {
				c.log.Debug("report not confirmed.", "daemon", m.Daemon, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // no report returns an error
}

func (c *crashes) message(r poison.Report) *peerpb.ReportCrashRequest {
	return &peerpb.ReportCrashRequest{
		Daemon:       string(c.own.Daemon),
		Service:      string(c.own.Service),
		Fingerprints: pack(r.Suspects),
		Condemned:    pack(r.Condemned),
		Cleared:      pack(r.Cleared),
		SentAt:       timestamppb.New(time.Now()),
		ForgetAt:     timestamppb.New(r.ForgetAt),
	}
}

// receive takes over the report of another daemon.
func (c *crashes) receive(_ context.Context, m *peerpb.ReportCrashRequest) (*peerpb.ReportCrashResponse, error) {
	if fleet.Service(m.GetService()) != c.own.Service {
		return nil, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	c.list.Apply(poison.Report{
		Daemon:    fleet.DaemonID(m.GetDaemon()),
		Suspects:  unpack(m.GetFingerprints()),
		Condemned: unpack(m.GetCondemned()),
		Cleared:   unpack(m.GetCleared()),
		ForgetAt:  time.Now().Add(m.GetForgetAt().AsTime().Sub(m.GetSentAt().AsTime())),
	})
	return &peerpb.ReportCrashResponse{}, nil
}

func pack(list []poison.Fingerprint) []uint64 {
	packed := make([]uint64, len(list))
	for i, f := range list {
		packed[i] = uint64(f)
	}
	return packed
}

func unpack(list []uint64) []poison.Fingerprint {
	unpacked := make([]poison.Fingerprint, len(list))
	for i, f := range list {
		unpacked[i] = poison.Fingerprint(f)
	}
	return unpacked
}
