package daemon

import (
	"context"

	"pollenscale/core/attempt"
	"pollenscale/core/budget"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/internal/logs"
	"pollenscale/io/client"

	"golang.org/x/sys/unix"
)

// buildGuard creates the guard of the servers.
func (d *Daemon) buildGuard() {
	if d.limits.Descriptors == nil {
		d.limits = budget.LimitsOf(d.Settings.Memory, descriptorLimit())
	}
	d.guard = client.New(budget.New(d.limits), d.meters.set, client.WithLog(logs.With(d.Log, logs.Daemon)))
}

// maxDescriptors bounds a limit of descriptors, which may be infinite.
const maxDescriptors = 1 << 20

// descriptorLimit returns the number of descriptors that the process may open, 0 if not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// occupy takes the place of a request of a caller after the first part of its body was read.
func (d *Daemon) occupy(ctx context.Context, r *call.Request) (release func(), err error) {
	room := client.RequestOf(ctx)
	if room == nil {
		return func() {}, nil // forwarded by the daemon that has charged it
	}
	if err := room.EndBody(); err != nil {
		return nil, client.Refusal(err)
	}
	_, whole, err := r.Body.Head(r.ContentLength)
	if err == nil && !whole {
		err = room.Stream()
	}
	if err == nil {
		err = room.AwaitExchange(ctx, r.Deadline)
	}
	if err != nil {
		return nil, client.Refusal(err)
	}
	return room.ReleasePlace, nil
}

// invokeForPeer runs an attempt of another daemon if there is room for it.
func (d *Daemon) invokeForPeer(ctx context.Context, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	room, err := d.beginAttempt(ctx, r)
	if err != nil {
		return nil, d.refuseAttempt(ref, err)
	}
	answer, err := d.Serve.Invoke(ctx, ref, r)
	if err != nil {
		room.Release()
		return nil, err
	}
	answer.Body = &releasingBody{ReadCloser: answer.Body, room: room}
	return answer, nil
}

// beginAttempt charges an attempt of another daemon.
func (d *Daemon) beginAttempt(ctx context.Context, r *call.Request) (*client.Request, error) {
	room, err := d.guard.Begin(attemptCost(r), budget.Peers)
	if err != nil {
		return nil, err
	}
	if err := room.AwaitAttempt(ctx, r.Deadline, hasLongBody(r)); err != nil {
		room.Release()
		return nil, err
	}
	return room, nil
}

// hasLongBody reports whether the body of an attempt may follow its first frame.
func hasLongBody(r *call.Request) bool {
	return r.Body != nil && (r.ContentLength < 0 || r.ContentLength > call.ReplayBytes)
}

// attemptCost returns the memory for an attempt of another daemon.
func attemptCost(r *call.Request) fleet.Bytes {
	cost := budget.RequestCost(r.Header)
	if r.Body != nil {
		cost += 2 * call.ReplayBytes
	}
	return cost
}

// refuseAttempt records that an attempt has not run and never will, and returns the error that
// says so.
func (d *Daemon) refuseAttempt(ref attempt.Ref, reason error) error {
	record, err := d.Attempts.Begin(ref, func() {})
	if err != nil {
		return err
	}
	record.Finish(outcome.NotRun)
	return client.Refusal(reason)
}
