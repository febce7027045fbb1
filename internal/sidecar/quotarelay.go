package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"pollenscale/core/roster"
	"pollenscale/core/store"
	"pollenscale/internal/mutant"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// callQuotaStore asks another daemon to write leases of quotas to the store.
	callQuotaStore = "QuotaStore"
	// relayTimeout limits a write by another daemon.
	relayTimeout = 400 * time.Millisecond
	// quotaDirectTimeout limits the owner's own call to a store that did not answer the call
	// before, so that a write by another daemon still fits into quotaStoreTimeout.
	quotaDirectTimeout = 600 * time.Millisecond
)

// relayLeases is a mechanism that tests can switch off.
var relayLeases = mutant.New("sidecar/relay-leases")

// writeLeases writes leases to the store. If the store does not answer this daemon, another
// daemon, which it may still serve, sends the same transaction: it is conditional on the
// versions of the rows, so that it takes effect once at most, and its lease is counted from
// before the first of the two calls.
func (s *Sidecar) writeLeases(ctx context.Context, t store.Transaction) (store.Result, error) {
	result, err := s.writeLeasesDirectly(ctx, t)
	if err == nil || ctx.Err() != nil || relayLeases.Off() {
		return result, err
	}
	relayed, relayErr := s.relayLeases(ctx, t)
	if relayErr != nil {
		return result, errors.CombineErrors(err, relayErr)
	}
	s.log.Info("quota: leases written by another daemon.", "slots", len(t.Writes), "committed", relayed.Committed, "error", err)
	return relayed, nil
}

func (s *Sidecar) writeLeasesDirectly(ctx context.Context, t store.Transaction) (store.Result, error) {
	if s.meters.store.down.Load() {
		limited, cancel := context.WithTimeout(ctx, quotaDirectTimeout)
		defer cancel()
		ctx = limited
	}
	return s.tables.Transact(ctx, t)
}

// relayLeases sends a transaction to a random reachable daemon, which makes the call.
func (s *Sidecar) relayLeases(ctx context.Context, t store.Transaction) (store.Result, error) {
	var addresses []string
	for _, r := range s.roster.Reachable() {
		if r.Daemon != s.id {
			addresses = append(addresses, r.PeerAddress)
		}
	}
	address := roster.Sample(addresses, 1)
	if len(address) == 0 {
		return store.Result{}, errors.New("no other daemon is reachable")
	}
	body, err := json.Marshal(t)
	if err != nil {
		return store.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r, err := s.peerPool(address[0]).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: address[0], Header: http.Header{headerCall: {callQuotaStore}},
		Body: bytes.NewReader(body), Length: int64(len(body)), Deadline: s.now().Add(relayTimeout),
	})
	if err != nil {
		return store.Result{}, err
	}
	var result store.Result
	err = json.NewDecoder(io.LimitReader(r, maxQuotaBytes)).Decode(&result)
	if err = errors.CombineErrors(err, r.Close()); err == nil && r.Status != http.StatusOK {
		err = errors.Newf("daemon %s did not reach the store either", address[0])
	}
	return result, err
}

// serveQuotaStore writes leases of quotas for another daemon.
func (s *Sidecar) serveQuotaStore(w http.ResponseWriter, r *http.Request) {
	s.endBodyAt(w, r, s.now().Add(fetchTimeout))
	var t store.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxQuotaBytes)).Decode(&t); err != nil || !onlyLeases(t) {
		http.Error(w, "not a transaction on leases of quotas", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	s.quotas.storeCalls.Inc()
	result, err := s.tables.Transact(ctx, t)
	if err != nil {
		s.meters.store.reportLost(s.log, err)
		http.Error(w, "store unavailable", http.StatusServiceUnavailable)
		return
	}
	s.meters.store.reportRegained(s.log)
	data, err := json.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		s.log.Debug("quota: writing a result failed.", "error", err)
	}
}

// onlyLeases reports whether the transaction reads and writes leases of quotas only.
func onlyLeases(t store.Transaction) bool {
	for _, c := range t.Conditions {
		if c.Table != quotaTable {
			return false
		}
	}
	for _, w := range t.Writes {
		if w.Table != quotaTable {
			return false
		}
	}
	return true
}
