package daemon

import (
	"context"
	"time"

	"pollenscale/internal/logs"
)

// drain shuts the daemon down gracefully.
func (d *Daemon) drain() error {
	d.logger().Info("draining.")
	d.State.SetStopping()
	d.Caller.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Duration()+d.Settings.Stop.Duration())
	defer cancel()
	if d.keys != nil {
		// The leases come first, so that the new owners are known before this daemon
		// ends.
		d.keys.releaseLeases(ctx)
		if err := d.uploads.queue.Drain(ctx); err != nil {
			logs.With(d.Log, logs.Upload).Warn("the delivery in progress did not complete.", "error", err)
		}
	}
	// Entries and callers learn of the drain from probes and answers. Requests that
	// arrive until then are still served or refused with the outcome NotRun.
	time.Sleep(d.Settings.Drain.Duration())
	// The caller server is shut down first, since its requests need connections to
	// peers.
	if err := d.Caller.Shutdown(ctx); err != nil {
		d.logger().Warn("requests from callers did not complete.", "error", err)
	}
	d.waitIdle(ctx)
	if err := d.PeerServer.Shutdown(ctx); err != nil {
		d.logger().Warn("attempts from peers did not complete.", "error", err)
	}
	d.members.leave()
	d.logger().Info("stopped.")
	return nil
}

// waitIdle waits until no attempt is in flight or ctx ends.
func (d *Daemon) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for d.Serve.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
