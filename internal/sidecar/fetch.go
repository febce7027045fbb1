package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"pollenscale/core/evacuation"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// noteConfigVersion requests the configuration of another daemon if it is newer than
// the own one.
func (s *Sidecar) noteConfigVersion(v route.Version, peerAddress string) {
	if v > s.config.Version() && peerAddress != "" {
		s.requestFetch(fetchRequest{address: peerAddress, version: v})
	}
}

const (
	// fetchTimeout limits a call that reads the state or a report of another daemon.
	fetchTimeout = time.Second
	// maxSnapshotBytes limits a snapshot: 4,000 records of 400 bytes, and a
	// configuration in base64.
	maxSnapshotBytes = 8 << 20
)

// snapshot is the state that a daemon sends to another one on request.
type snapshot struct {
	Records []roster.Record
	// Config is the configuration as the operator published it.
	Config []byte
	// Evacuation is the set of evacuated zones, absent if it is not known.
	Evacuation evacuation.Set `json:",omitzero"`
}

func (s *Sidecar) serveSnapshot(w http.ResponseWriter) {
	data, err := json.Marshal(snapshot{Records: s.roster.Records(), Config: s.config.Raw(), Evacuation: s.ownEvacuations()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		s.log.Debug("member: writing the snapshot failed.", "error", err)
	}
}

func (s *Sidecar) serveConfig(w http.ResponseWriter) {
	if _, err := w.Write(s.config.Raw()); err != nil {
		s.log.Debug("config: writing the configuration failed.", "error", err)
	}
}

// fetchRequest asks for newer state of another daemon: its configuration or, if records
// is set, its records too. If marks is set, it asks some daemons for their marks.
type fetchRequest struct {
	address string
	version route.Version
	records bool
	marks   bool
}

// requestFetch queues a request for runFetches. The request is dropped if the queue is
// full.
func (s *Sidecar) requestFetch(req fetchRequest) {
	select {
	case s.fetchRequests <- req:
	default:
	}
}

// runFetches reads the requested state from other daemons.
func (s *Sidecar) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case req := <-s.fetchRequests:
			if err := s.fetch(ctx, req); err != nil {
				s.log.Info("member: reading from another daemon failed.", "from", req.address, "version", req.version, "error", err)
			}
		}
	}
}

func (s *Sidecar) fetch(ctx context.Context, req fetchRequest) error {
	switch {
	case req.marks:
		return s.fetchMarks(ctx)
	case req.records:
		return s.fetchSnapshot(ctx, req.address)
	case req.version > s.config.Version():
		return s.fetchConfig(ctx, req.address)
	}
	return nil
}

// getFromPeer calls another daemon to read a part of its state.
func (s *Sidecar) getFromPeer(ctx context.Context, address, name string) (*http1.Response, error) {
	return s.peerPool(address).Do(ctx, &http1.Request{
		Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{headerCall: {name}},
		Deadline: s.now().Add(fetchTimeout),
	})
}

func (s *Sidecar) fetchSnapshot(ctx context.Context, address string) error {
	r, err := s.getFromPeer(ctx, address, callSnapshot)
	if err != nil {
		return err
	}
	var got snapshot
	err = json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&got)
	if err = errors.CombineErrors(err, r.Close()); err != nil {
		return err
	}
	s.offerEvacuations(got.Evacuation)
	for _, record := range got.Records {
		if err := record.Validate(s.now()); err != nil {
			s.meters.invalid("snapshot").Inc()
			s.log.Warn("member: invalid record ignored.", "daemon", record.Daemon, "from", address, "error", err)
			continue
		}
		if record.Daemon == s.id {
			s.recallRecord(record, false)
			continue
		}
		if s.roster.Merge(record) {
			s.logMember(record, address)
		}
	}
	if len(got.Config) > 0 {
		s.offerConfig(got.Config, address)
	}
	return nil
}
