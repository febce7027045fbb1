package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"pollenscale/core/poison"
	"pollenscale/core/roster"
	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
)

const (
	// markSources is the number of daemons that are asked for the marks of requests that
	// crash targets. Some may have started recently and not know all.
	markSources = 3
	// maxMarksBytes limits their marks: 8,192 fingerprints of 21 bytes, and one report for
	// each time at which marks expire.
	maxMarksBytes = 2 << 20
)

// learnMarks is a mechanism that tests can switch off.
var learnMarks = mutant.New("sidecar/learn-marks")

// requestMarks asks for the marks of the service of the target, unless they are known: earlier
// processes of this daemon may have had them.
func (s *Sidecar) requestMarks() {
	service := s.localTarget.View().Service
	if known := s.marksOf.Load(); service == "" || known != nil && *known == service || len(s.markSources()) == 0 {
		return
	}
	s.requestFetch(fetchRequest{marks: true})
}

// markSources returns the daemons of the service that have been running for longest.
func (s *Sidecar) markSources() []roster.Record {
	peers := slices.DeleteFunc(s.servicePeers(), func(r roster.Record) bool { return !s.roster.IsReachable(r.Daemon) })
	slices.SortFunc(peers, func(a, b roster.Record) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return peers[:min(markSources, len(peers))]
}

// fetchMarks learns the marks from some daemons of the service. One answer is enough.
func (s *Sidecar) fetchMarks(ctx context.Context) error {
	service := s.localTarget.View().Service
	var failures error
	for _, peer := range s.markSources() {
		if err := s.fetchMarksFrom(ctx, peer.PeerAddress); err != nil {
			failures = errors.CombineErrors(failures, err)
			continue
		}
		s.marksOf.Store(&service)
	}
	return failures
}

func (s *Sidecar) fetchMarksFrom(ctx context.Context, address string) error {
	if learnMarks.Off() {
		return nil
	}
	r, err := s.getFromPeer(ctx, address, callMarks)
	if err != nil {
		return err
	}
	var reports []crashReport
	if r.Status != http.StatusOK {
		err = errors.Newf("unexpected status %d", r.Status)
	} else {
		err = json.NewDecoder(io.LimitReader(r, maxMarksBytes)).Decode(&reports)
	}
	if err = errors.CombineErrors(err, r.Close()); err != nil {
		return err
	}
	for i := range reports {
		s.poison.Apply(s.decodeReport(&reports[i]))
	}
	if len(reports) > 0 {
		s.log.Info("target: marks of requests that crash targets learned.", "from", address, "reports", len(reports))
	}
	return nil
}

// serveMarks sends the marks of requests that crash targets.
func (s *Sidecar) serveMarks(w http.ResponseWriter) {
	reports := []crashReport{}
	for _, r := range s.poison.Snapshot() {
		reports = append(reports, s.encodeReport(r))
	}
	if err := json.NewEncoder(w).Encode(reports); err != nil {
		s.log.Debug("target: writing the marks failed.", "error", err)
	}
}

func (s *Sidecar) encodeReport(r poison.Report) crashReport {
	return crashReport{
		Daemon: r.Daemon, Suspects: r.Suspects, Condemned: r.Condemned, Cleared: r.Cleared, ForgetAfter: r.ForgetAt.Sub(s.now()),
	}
}

func (s *Sidecar) decodeReport(r *crashReport) poison.Report {
	return poison.Report{
		Daemon: r.Daemon, Suspects: r.Suspects, Condemned: r.Condemned, Cleared: r.Cleared, ForgetAt: s.now().Add(r.ForgetAfter),
	}
}
