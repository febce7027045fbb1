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
	// maxReportBytes bounds a crash report: two fingerprints for each slot of a
	// large target.
	maxReportBytes = 64 << 10
	// reportTimeout bounds one call that passes a report on.
	reportTimeout = 150 * time.Millisecond
	// crashCheck bounds the connection that shows whether a target is gone.
	crashCheck = 100 * time.Millisecond
)

// crashReport is a poison.Report as it travels. Clocks of VMs differ, so it says
// how long it holds.
type crashReport struct {
	Daemon      fleet.DaemonID
	Suspects    []poison.Fingerprint `json:",omitempty"`
	Condemned   []poison.Fingerprint `json:",omitempty"`
	Cleared     []poison.Fingerprint `json:",omitempty"`
	ForgetAfter time.Duration
}

// newPoison returns the list of requests that crash targets.
func (s *Sidecar) newPoison() *poison.List {
	return poison.New(s.id, poison.WithMembers(s.eligible), poison.WithSend(s.reportCrash),
		poison.WithNow(func() time.Time { return s.now() }))
}

// siblings returns the other daemons beside targets of the own service.
func (s *Sidecar) siblings() []roster.Record {
	service := s.local.View().Service
	var out []roster.Record
	for _, r := range s.roster.Records() {
		if r.Daemon != s.id && r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// eligible returns the daemons whose targets may run a suspect.
func (s *Sidecar) eligible() []fleet.DaemonID {
	ids := []fleet.DaemonID{s.id}
	for _, r := range s.siblings() {
		if r.State.TakesWork() {
			ids = append(ids, r.Daemon)
		}
	}
	return ids
}

// endRun records how a run at the target ended. A connection that is lost beside
// a target that accepts no other means that the target crashed.
func (s *Sidecar) endRun(ctx context.Context, run *poison.Run, v verdict) {
	lost := v.err != nil && v.err.Outcome == outcome.Unknown && v.err.Reason == outcome.TargetFailed && ctx.Err() == nil
	if lost && s.target.Load().Connect(ctx, s.now().Add(crashCheck)) != nil {
		report := s.poison.Crash(context.WithoutCancel(ctx))
		if len(report.Suspects)+len(report.Condemned) > 0 {
			s.log.Warn("target: crashed.", "target", s.local.View().ID, "suspects", report.Suspects, "condemned", report.Condemned)
		}
	}
	run.End(context.WithoutCancel(ctx), v.err == nil)
}

// reportCrash passes a report to the siblings.
func (s *Sidecar) reportCrash(ctx context.Context, r poison.Report) {
	body, err := json.Marshal(crashReport{
		Daemon: r.Daemon, Suspects: r.Suspects, Condemned: r.Condemned, Cleared: r.Cleared, ForgetAfter: r.ForgetAt.Sub(s.now()),
	})
	if err != nil {
		s.log.Error("target: crash report not encoded.", "error", err)
		return
	}
	var group errgroup.Group
	for _, to := range s.siblings() {
		group.Go(func() error { return s.sendReport(ctx, to.PeerAddress, body) })
	}
	if err := group.Wait(); err != nil {
		s.log.Warn("target: crash report not confirmed by all.", "error", err)
	}
}

func (s *Sidecar) sendReport(ctx context.Context, address string, body []byte) error {
	r, err := s.peer(address).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{hopCall: {callCrash}},
		Body: bytes.NewReader(body), Length: int64(len(body)), Deadline: s.now().Add(reportTimeout),
	})
	if err != nil {
		return err
	}
	_, err = readAnswer(r)
	return err
}

// serveCrash takes over the report of a sibling.
func (s *Sidecar) serveCrash(w http.ResponseWriter, r *http.Request) {
	var report crashReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&report); err != nil {
		http.Error(w, "crash report cannot be read", http.StatusBadRequest)
		return
	}
	s.poison.Apply(poison.Report{
		Daemon: report.Daemon, Suspects: report.Suspects, Condemned: report.Condemned, Cleared: report.Cleared,
		ForgetAt: s.now().Add(report.ForgetAfter),
	})
	s.log.Info("target: crash reported.", "daemon", report.Daemon, "suspects", report.Suspects,
		"condemned", report.Condemned, "cleared", report.Cleared)
	w.WriteHeader(http.StatusNoContent)
}
