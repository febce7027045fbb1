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
	// membersTable holds one row for each daemon, which the daemon itself writes.
	membersTable store.Table = "members"
	// listPageSize is the maximum number of rows that one call returns.
	listPageSize = 500
	// reconcileInterval is how often the records in the store are read. Changes are
	// sent in datagrams; this finds those that were lost.
	reconcileInterval = 2 * time.Minute
	// minStoreRetryDelay is the delay after the first failed call. It doubles up to
	// maxStoreRetryDelay, so that the daemon reaches the store within 1.5 s after it is
	// available again.
	minStoreRetryDelay = 300 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// announceInterval is how often the daemon sends its record to a few daemons of its
	// zone and of other zones, which finds daemons that have restarted.
	announceInterval = time.Second
	// announceNear and announceFar are the numbers of daemons of the own zone and of
	// other zones that get the record each time.
	announceNear = 8
	announceFar  = 2
)

func (s *Sidecar) ownMessage() announce.Message {
	return announce.Message{
		From: s.ownRecord(), Version: s.config.Version(), Era: s.storeEra.value(), Watching: s.watching.Load(),
		Evacuation: s.ownEvacuations(),
	}
}

// handleMessage merges the record in a datagram and follows up on it: it passes the
// record on, corrects a sender with an outdated record, responds to new daemons, and
// fetches newer state.
func (s *Sidecar) handleMessage(m announce.Message) {
	if err := m.From.Validate(s.now()); err != nil {
		s.meters.invalid("datagram").Inc()
		s.log.Warn("member: invalid record ignored.", "daemon", m.From.Daemon, "error", err)
		return
	}
	if m.From.Daemon == s.id {
		s.recallRecord(m.From, false)
		return
	}
	if m.Purpose != announce.Relayed {
		s.roster.MarkReachable(m.From.Daemon)
	}
	if m.Era > 0 {
		s.observeEra(m.Era)
	}
	alone := s.roster.Len() <= 1
	newProcess := !s.roster.Knows(m.From.Daemon, m.From.Incarnation)
	newer := s.roster.Merge(m.From)
	if newer {
		s.logMember(m.From, "datagram")
	}
	if newer && m.Purpose == announce.Relay {
		s.announcer.Forward(m.From, s.roster.Recipients(s.settings.Load().Place.Region).Direct)
	}
	if m.Purpose == announce.Relayed {
		return
	}
	if known, ok := s.roster.Record(m.From.Daemon); ok && outdated(&m.From, &known) {
		s.announcer.Forward(known, []string{m.From.AnnounceAddress})
	}
	if newer && newProcess {
		s.announcer.SendHeartbeat(m.From.AnnounceAddress)
	}
	s.roster.SetWatching(m.From.Daemon, m.Watching)
	if alone {
		s.requestFetch(fetchRequest{address: m.From.PeerAddress, records: true})
	}
	s.noteConfigVersion(m.Version, m.From.PeerAddress)
}

// outdated reports whether a daemon that has sent a record needs the known one: it comes from
// a later process, or has departures that the sender does not know after its restart.
func outdated(sent, known *roster.Record) bool {
	return known.Incarnation > sent.Incarnation || !sent.AllDepartures().Contains(known.Departures)
}

func (s *Sidecar) logMember(r roster.Record, source string) {
	s.log.Info("member: changed.", "daemon", r.Daemon, "incarnation", r.Incarnation, "sequence", r.Sequence,
		"service", r.Service, "target", r.Target, "state", r.State, "zone", r.Place.AvailabilityZone, "source", source)
}

// updateTargets passes the known targets to the chooser.
func (s *Sidecar) updateTargets() {
	s.evacuations.targetsMu.Lock()
	defer s.evacuations.targetsMu.Unlock()
	s.chooser.SetTargets(s.excludeEvacuated(s.roster.Targets()))
}

// maintainMembers publishes the own record and reads the records of the other daemons
// when the daemon starts, then reads all records periodically, and when the store has
// come back from an older copy, and sends the own record to some daemons in between. The
// own record is written before the others are read: of two daemons that start at the same
// time, the one that writes later finds the other.
func (s *Sidecar) maintainMembers(ctx context.Context) error {
	for pause := minStoreRetryDelay; !s.writeRecord(ctx) || !s.readMembers(ctx); pause = min(2*pause, maxStoreRetryDelay) {
		s.announceRound(0)
		if !wait.For(ctx, jittered(pause)) {
			return nil
		}
	}
	s.joined.Store(true)
	s.wakeQuotas()
	s.requestMarks()
	s.announceRecord()
	next, era := s.now().Add(jittered(reconcileInterval)), s.storeEra.value()
	for round := 0; wait.For(ctx, jittered(announceInterval)); round++ {
		s.announceRound(round)
		if current := s.storeEra.value(); current > era {
			next, era = s.now().Add(s.rereadDelay()), current
		}
		if s.now().Before(next) {
			continue
		}
		if s.readMembers(ctx) {
			next = s.now().Add(jittered(reconcileInterval))
		} else {
			next = s.now().Add(jittered(maxStoreRetryDelay))
		}
	}
	return nil
}

// announceRound sends the own record to some daemons of the own zone and a few of the
// others, in rotation.
func (s *Sidecar) announceRound(round int) {
	s.requestMarks()
	place := s.settings.Load().Place
	near := s.roster.AddressesInZone(place)
	if s.watching.Load() {
		// All daemons of the zone have to know that the watcher is alive.
		s.announceToSome(near, 0, len(near))
	} else {
		s.announceToSome(near, round, announceNear)
	}
	s.announceToSome(s.roster.AddressesOutsideZone(place), round, announceFar)
}

func (s *Sidecar) announceToSome(addresses []string, round, n int) {
	for i := range min(n, len(addresses)) {
		s.announcer.SendHeartbeat(addresses[(round*n+i)%len(addresses)])
	}
}

// readMembers reads and merges the records in the store. If another writer has replaced
// or removed the own record, it is written again.
func (s *Sidecar) readMembers(ctx context.Context) bool {
	after, ownFound := "", false
	for {
		rows, err := s.tables.List(ctx, membersTable, "", after, listPageSize)
		if err != nil {
			s.meters.store.reportLost(s.log, err)
			return false
		}
		s.meters.store.reportRegained(s.log)
		for _, row := range rows {
			s.mergeRow(ctx, row)
			ownFound = ownFound || s.isOwnRow(row)
			after = row.Key
		}
		if len(rows) < listPageSize {
			if !ownFound {
				s.log.Warn("member: own record missing in the store.", "daemon", s.id)
				s.wakePublisher()
			}
			return true
		}
	}
}

// isOwnRow reports whether the row holds a record of this process.
func (s *Sidecar) isOwnRow(row store.Row) bool {
	if row.Key != string(s.id) {
		return false
	}
	r, err := s.decodeRecord(row)
	return err == nil && r.Incarnation == s.incarnation()
}

// mergeRow merges the record in a row, and removes the row of a daemon that is
// permanently gone.
func (s *Sidecar) mergeRow(ctx context.Context, row store.Row) {
	r, err := s.decodeRecord(row)
	if err != nil {
		s.meters.invalid("row").Inc()
		s.log.Warn("member: invalid row ignored.", "key", row.Key, "version", row.Version, "error", err)
		return
	}
	switch {
	case r.Daemon == s.id:
		s.recallRecord(r, true)
	case s.roster.Forgotten(r):
		s.removeRow(ctx, row)
	case s.roster.Merge(r):
		s.logMember(r, "store")
	}
}

// removeRow removes the row of a daemon that is permanently gone, unless the row has
// changed. Only daemons that watch the store do so.
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
