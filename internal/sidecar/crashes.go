package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/roster"
	"pollenscale/io/http1"

	"golang.org/x/sync/errgroup"
)

const (
	// maxReportBytes limits a crash report, which has two fingerprints for each slot of
	// a large target.
	maxReportBytes = 64 << 10
	// reportTimeout limits the call that sends a report to one daemon.
	reportTimeout = 150 * time.Millisecond
	// crashCheckTimeout limits the connection attempt that shows whether a target has
	// crashed.
	crashCheckTimeout = 100 * time.Millisecond
)

// crashReport is the encoding of a poison.Report. It contains a duration instead of the
// expiry time since the clocks of VMs differ.
type crashReport struct {
	Daemon      fleet.DaemonID
	Suspects    []poison.Fingerprint `json:",omitempty"`
	Condemned   []poison.Fingerprint `json:",omitempty"`
	Cleared     []poison.Fingerprint `json:",omitempty"`
	ForgetAfter time.Duration
}

// newPoisonList returns the list of requests that crash targets.
func (s *Sidecar) newPoisonList() *poison.List {
	return poison.New(s.id, poison.WithMembers(s.eligibleDaemons), poison.WithSend(s.sendCrashReport),
		poison.WithNow(func() time.Time { return s.now() }))
}

// servicePeers returns the records of the other daemons whose targets run the same
// service.
func (s *Sidecar) servicePeers() []roster.Record {
	service := s.localTarget.View().Service
	var out []roster.Record
	for _, r := range s.roster.Records() {
		if r.Daemon != s.id && r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// eligibleDaemons returns the daemons whose targets may run a suspect.
func (s *Sidecar) eligibleDaemons() []fleet.DaemonID {
	ids := []fleet.DaemonID{s.id}
	for _, r := range s.servicePeers() {
		if r.State.TakesWork() {
			ids = append(ids, r.Daemon)
		}
	}
	return ids
}

// endRun records how a run at the target ended. If the connection was lost and the
// target accepts no new one, the target has crashed.
func (s *Sidecar) endRun(ctx context.Context, run *poison.Run, result attemptResult) {
	lost := result.err != nil && result.err.Outcome == outcome.Unknown && result.err.Reason == outcome.TargetFailed && ctx.Err() == nil
	if lost && s.targetPool.Load().Connect(ctx, s.now().Add(crashCheckTimeout)) != nil {
		report := s.poison.Crash(context.WithoutCancel(ctx))
		if len(report.Suspects)+len(report.Condemned) > 0 {
			s.log.Warn("target: crashed.", "target", s.localTarget.View().ID, "suspects", report.Suspects, "condemned", report.Condemned)
		}
	}
	run.End(context.WithoutCancel(ctx), result.err == nil)
}

// sendCrashReport sends a report to the daemons of the same service.
func (s *Sidecar) sendCrashReport(ctx context.Context, r poison.Report) {
	body, err := json.Marshal(s.encodeReport(r))
	if err != nil {
		s.log.Error("target: encoding the crash report failed.", "error", err)
		return
	}
	var group errgroup.Group
	for _, to := range s.servicePeers() {
		group.Go(func() error { return s.sendCrashReportTo(ctx, to.PeerAddress, body) })
	}
	if err := group.Wait(); err != nil {
		s.log.Warn("target: some daemons did not acknowledge the crash report.", "error", err)
	}
}

func (s *Sidecar) sendCrashReportTo(ctx context.Context, address string, body []byte) error {
	r, err := s.peerPool(address).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{headerCall: {callCrash}},
		Body: bytes.NewReader(body), Length: int64(len(body)), Deadline: s.now().Add(reportTimeout),
	})
	if err != nil {
		return err
	}
	return discardResponse(r)
}

// serveCrashReport applies the crash report of another daemon.
func (s *Sidecar) serveCrashReport(w http.ResponseWriter, r *http.Request) {
	s.endBodyAt(w, r, s.now().Add(fetchTimeout))
	var report crashReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&report); err != nil {
		http.Error(w, "crash report cannot be read", http.StatusBadRequest)
		return
	}
	s.poison.Apply(s.decodeReport(&report))
	s.log.Info("target: crash reported.", "daemon", report.Daemon, "suspects", report.Suspects,
		"condemned", report.Condemned, "cleared", report.Cleared)
	w.WriteHeader(http.StatusNoContent)
}
