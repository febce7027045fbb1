package sidecar

import (
	"context"
	"time"

	"pollenscale/core/roster"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/io/announce"
)

const (
	// membersTable holds one row per daemon, written by its owner.
	membersTable store.Table = "members"
	// listLimit is the number of rows that one call returns.
	listLimit = 500
	// reconcileInterval is how often the records in the store are read. Changes
	// arrive by datagram; this finds what datagrams lost.
	reconcileInterval = 2 * time.Minute
	// storeRetry is the first pause after a failed call; it doubles up to
	// maxStoreRetry, so that the store is found again within 1.5 s of its return.
	storeRetry    = 300 * time.Millisecond
	maxStoreRetry = time.Second
	// greetInterval is how often the own record is sent to a few daemons of the own
	// zone and elsewhere, which finds daemons that restarted.
	greetInterval = time.Second
	// greetedNear and greetedFar are the numbers of daemons greeted each time.
	greetedNear = 8
	greetedFar  = 2
)

func (s *Sidecar) ownMessage() announce.Message {
	return announce.Message{From: s.ownRecord(), Version: s.holder.Version(), Watching: s.watching.Load()}
}

// received takes over what a datagram says of a daemon.
func (s *Sidecar) received(m announce.Message) {
	if m.From.Daemon == s.id {
		s.recall(m.From)
		return
	}
	if m.Purpose != announce.Relayed {
		s.roster.Heard(m.From.Daemon)
	}
	alone := s.roster.Len() <= 1
	joined := !s.roster.Knows(m.From.Daemon, m.From.Incarnation)
	fresh := s.roster.Offer(m.From)
	if fresh {
		s.logMember(m.From, "datagram")
	}
	if fresh && m.Purpose == announce.Relay {
		s.node.Forward(m.From, s.roster.Audience(s.settings.Load().Place.Region).Direct)
	}
	if m.Purpose == announce.Relayed {
		return
	}
	if known, ok := s.roster.Record(m.From.Daemon); ok && known.Incarnation > m.From.Incarnation {
		s.node.Forward(known, []string{m.From.AnnounceAddress})
	}
	if fresh && joined {
		s.node.SendHeartbeat(m.From.AnnounceAddress)
	}
	s.roster.Watching(m.From.Daemon, m.Watching)
	if alone {
		s.follow(news{address: m.From.PeerAddress, records: true})
	}
	s.newerConfig(m.Version, m.From.PeerAddress)
}

func (s *Sidecar) logMember(r roster.Record, source string) {
	s.log.Info("member: changed.", "daemon", r.Daemon, "incarnation", r.Incarnation, "sequence", r.Sequence,
		"service", r.Service, "target", r.Target, "state", r.State, "zone", r.Place.AvailabilityZone, "source", source)
}

// refreshTargets gives the known targets to the chooser.
func (s *Sidecar) refreshTargets() { s.chooser.SetTargets(s.roster.Targets()) }

// keepMembers makes this daemon and the others known to each other at the start,
// reads the records of all from time to time, and greets daemons between. The
// own record is written before the others are read: of two daemons that start at
// the same time, the one that writes later finds the other.
func (s *Sidecar) keepMembers(ctx context.Context) error {
	for pause := storeRetry; !s.writeRecord(ctx) || !s.readMembers(ctx); pause = min(2*pause, maxStoreRetry) {
		s.greet(0)
		if !wait.For(ctx, jittered(pause)) {
			return nil
		}
	}
	s.joined.Store(true)
	s.announceOwn()
	next := s.now().Add(jittered(reconcileInterval))
	for round := 0; wait.For(ctx, jittered(greetInterval)); round++ {
		s.greet(round)
		if s.now().Before(next) {
			continue
		}
		if s.readMembers(ctx) {
			next = s.now().Add(jittered(reconcileInterval))
		} else {
			next = s.now().Add(jittered(maxStoreRetry))
		}
	}
	return nil
}

// greet sends the own record, by turns, to some daemons of the own zone and to a
// few of the others.
func (s *Sidecar) greet(round int) {
	place := s.settings.Load().Place
	near := s.roster.Neighbours(place)
	if s.watching.Load() {
		// All daemons of the zone rely on a watcher.
		s.greetSome(near, 0, len(near))
	} else {
		s.greetSome(near, round, greetedNear)
	}
	s.greetSome(s.roster.Distant(place), round, greetedFar)
}

func (s *Sidecar) greetSome(addresses []string, round, n int) {
	for i := range min(n, len(addresses)) {
		s.node.SendHeartbeat(addresses[(round*n+i)%len(addresses)])
	}
}

// readMembers merges the records in the store.
func (s *Sidecar) readMembers(ctx context.Context) bool {
	after := ""
	for {
		rows, err := s.tables.List(ctx, membersTable, "", after, listLimit)
		if err != nil {
			s.meters.store.lost(s.log, err)
			return false
		}
		s.meters.store.regained(s.log)
		for _, row := range rows {
			s.takeRow(ctx, row)
			after = row.Key
		}
		if len(rows) < listLimit {
			return true
		}
	}
}

// takeRow merges one row.
func (s *Sidecar) takeRow(ctx context.Context, row store.Row) {
	r, err := decodeRecord(row)
	if err != nil {
		s.log.Warn("member: row set aside.", "key", row.Key, "version", row.Version, "error", err)
		return
	}
	switch {
	case r.Daemon == s.id:
		s.outlive(r.Incarnation)
	case s.roster.Forgotten(r):
		s.removeRow(ctx, row)
	case s.roster.Offer(r):
		s.logMember(r, "store")
	}
}

// removeRow removes the row of a daemon that is gone for good, if it has not
// changed. Only the watchers of the store do so.
func (s *Sidecar) removeRow(ctx context.Context, row store.Row) {
	if !s.watching.Load() {
		return
	}
	result, err := s.tables.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: membersTable, Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{{Table: membersTable, Key: row.Key, Delete: true}},
	})
	s.log.Info("member: row removed.", "daemon", row.Key, "version", row.Version, "committed", result.Committed, "error", err)
}
