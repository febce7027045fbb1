package sidecar

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals reloads the settings on SIGHUP and shuts the daemon down on SIGTERM and
// SIGINT.
func (s *Sidecar) handleSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s.reloadSettings()
				continue
			}
			s.log.Info("daemon: stopping.", "signal", sig.String())
			return s.shutdown(ctx)
		}
	}
}

// reloadSettings reads the settings and applies those that may change while the daemon
// runs.
func (s *Sidecar) reloadSettings() {
	next, err := s.protocol.ReadSettings()
	if err != nil {
		s.log.Error("daemon: reading the settings failed; the previous ones remain in force.", "error", err)
		return
	}
	old := s.settings.Swap(&next)
	if next.Target != old.Target {
		s.setTarget(next.Target)
	}
	s.log.Info("daemon: settings reloaded.", "service", next.Service, "target", next.Target)
}

// checkSettings reloads the settings if they have changed.
func (s *Sidecar) checkSettings() {
	if next, err := s.protocol.ReadSettings(); err == nil && !next.Equal(s.settings.Load()) {
		s.reloadSettings()
	}
}
