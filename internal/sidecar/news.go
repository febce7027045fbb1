package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// newerConfig follows a daemon that has a newer configuration.
func (s *Sidecar) newerConfig(v route.Version, peerAddress string) {
	if v > s.holder.Version() && peerAddress != "" {
		s.follow(news{address: peerAddress, version: v})
	}
}

// snapshotTimeout bounds the reading of another daemon's knowledge.
const snapshotTimeout = time.Second

// snapshot is what a daemon tells another that asks for all it knows.
type snapshot struct {
	Records []roster.Record
	// Config is the configuration as the operator wrote it.
	Config []byte
}

func (s *Sidecar) serveSnapshot(w http.ResponseWriter) {
	data, err := json.Marshal(snapshot{Records: s.roster.Records(), Config: s.holder.Raw()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		s.log.Debug("member: snapshot not sent.", "error", err)
	}
}

func (s *Sidecar) serveConfig(w http.ResponseWriter) {
	if _, err := w.Write(s.holder.Raw()); err != nil {
		s.log.Debug("config: not sent.", "error", err)
	}
}

// news is what another daemon knows more: a configuration, or the records too.
type news struct {
	address string
	version route.Version
	records bool
}

// follow asks for the knowledge of a daemon that knows more. It is dropped when
// several daemons are to be asked already.
func (s *Sidecar) follow(n news) {
	select {
	case s.news <- n:
	default:
	}
}

// followNews reads what other daemons know more.
func (s *Sidecar) followNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-s.news:
			if err := s.read(ctx, n); err != nil {
				s.log.Info("member: news not read.", "from", n.address, "version", n.version, "error", err)
			}
		}
	}
}

func (s *Sidecar) read(ctx context.Context, n news) error {
	switch {
	case n.records:
		return s.readSnapshot(ctx, n.address)
	case n.version > s.holder.Version():
		return s.readPeerConfig(ctx, n.address)
	}
	return nil
}

// call asks another daemon for a part of what it knows.
func (s *Sidecar) call(ctx context.Context, address, name string) (*http1.Response, error) {
	return s.peer(address).Do(ctx, &http1.Request{
		Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{hopCall: {name}},
		Deadline: s.now().Add(snapshotTimeout),
	})
}

func (s *Sidecar) readSnapshot(ctx context.Context, address string) error {
	r, err := s.call(ctx, address, callSnapshot)
	if err != nil {
		return err
	}
	var got snapshot
	err = json.NewDecoder(r).Decode(&got)
	if err = errors.CombineErrors(err, r.Close()); err != nil {
		return err
	}
	for _, record := range got.Records {
		if record.Daemon == s.id {
			s.recall(record)
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
