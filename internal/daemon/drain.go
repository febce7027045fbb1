package daemon

import (
	"context"
	"time"

	"pollenscale/internal/logs"
)

// drain stops the daemon gracefully.
func (d *Daemon) drain() error {
	d.own().Info("draining.")
	d.State.SetStopping()
	d.Caller.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Duration()+d.Settings.Stop.Duration())
	defer cancel()
	if d.keys != nil {
		// First, so that the next owners are known before this daemon ends.
		d.keys.release(ctx)
		if err := d.uploads.courier.Drain(ctx); err != nil {
			logs.With(d.Log, logs.Upload).Warn("the delivery under way did not complete.", "error", err)
		}
	}
	// Entries and callers learn of the drain from probes and answers. Requests
	// that arrive until then are still served or refused as not run.
	time.Sleep(d.Settings.Drain.Duration())
	// Callers first, since their requests need connections to peers.
	if err := d.Caller.Shutdown(ctx); err != nil {
		d.own().Warn("requests of callers did not complete.", "error", err)
	}
	d.waitIdle(ctx)
	if err := d.PeerSide.Shutdown(ctx); err != nil {
		d.own().Warn("attempts of peers did not complete.", "error", err)
	}
	d.members.leave()
	d.own().Info("stopped.")
	return nil
}

// waitIdle waits until no attempt is under way.
func (d *Daemon) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for d.Serve.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
