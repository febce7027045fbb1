package untrusted

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"pollenscale/platform/rowstore"
)

// TestDisturbedSite guards against the failures of TestUntrustedClients while another daemon,
// the store or the configuration changes.
func TestDisturbedSite(t *testing.T) {
	binary := buildProgram(t, "sidecar")
	events := map[string]func(*testing.T, *site){
		"a daemon is frozen": func(_ *testing.T, s *site) {
			other := s.daemons[1].cmd.Load().Process
			other.Signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			other.Signal(syscall.SIGCONT)
		},
		"a daemon is killed and started": func(t *testing.T, s *site) { s.restart(t, s.daemons[1], syscall.SIGKILL) },
		"the daemon with the crowd is stopped and started": func(t *testing.T, s *site) {
			s.restart(t, s.daemons[0], syscall.SIGTERM)
		},
		"the store is away": func(_ *testing.T, s *site) {
			s.store.SetOutage(rowstore.Outage{Busy: true})
			time.Sleep(3 * time.Second)
			s.store.SetOutage(rowstore.Outage{})
		},
		"the configuration changes": func(t *testing.T, s *site) {
			for version := 2; version < 12; version++ {
				s.store.Put("op", "config", configuration(t, version))
				time.Sleep(200 * time.Millisecond)
			}
		},
	}
	for event, disturb := range events {
		for name, send := range map[string]client{"short lines": shortLines, "whole bodies": wholeBodies} {
			t.Run(event+", "+name, func(t *testing.T) {
				s := startSite(t, binary, services...)
				check(t, s, crowd{port: portCallers, dialect: sidecarDialect, conns: 1, send: send, during: func() { disturb(t, s) }})
			})
		}
	}
}

// restart ends a process by the signal, at the latest after the grace period, and starts it
// again.
func (s *site) restart(t *testing.T, p *process, signal syscall.Signal) {
	t.Helper()
	const grace = 6 * time.Second
	p.restarting.Store(true)
	cmd := p.cmd.Load()
	cmd.Process.Signal(signal)
	timer := time.AfterFunc(grace, func() { cmd.Process.Kill() })
	defer timer.Stop()
	for s.running(cmd.Process.Pid) {
		time.Sleep(20 * time.Millisecond)
	}
	s.host.launch(t, p)
	p.restarting.Store(false)
}

// running reports whether a process has not ended.
func (s *site) running(pid int) bool {
	return syscall.Kill(pid, 0) == nil
}

// TestManyEntries guards against bodies from many daemons that exhaust the one beside the
// only target of their service.
func TestManyEntries(t *testing.T) {
	binary := buildProgram(t, "sidecar")
	for name, send := range map[string]client{
		"unfinished bodies": unfinishedBody, "unfinished chunks": unfinishedChunks, "whole bodies": wholeBodies, "odd lines": oddLines,
	} {
		t.Run(name, func(t *testing.T) {
			const entries = 5
			s := startSite(t, binary, strings.Fields(strings.Repeat("desk ", entries)+"agenda")...)
			check(t, s, crowd{port: portCallers, dialect: sidecarDialect, conns: 2, send: send, targets: entries})
		})
	}
}

// TestCrowdComesAgain guards against room that is not given back between two visits of a crowd.
func TestCrowdComesAgain(t *testing.T) {
	binary := buildProgram(t, "sidecar")
	for name, send := range map[string]client{"short lines": shortLines, "unfinished bodies": unfinishedBody, "whole bodies": wholeBodies} {
		t.Run(name, func(t *testing.T) {
			check(t, startSite(t, binary, services...), crowd{port: portCallers, dialect: sidecarDialect, conns: 1, send: send, rounds: 3})
		})
	}
}
