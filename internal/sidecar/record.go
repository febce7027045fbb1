package sidecar

import (
	"context"
	"encoding/json"
	"sync"

	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/roster"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/io/announce"

	"github.com/cockroachdb/errors"
)

// publisher holds the state of writing the own record to the store. A change that is
// made during a write is written next.
type publisher struct {
	wake chan struct{}
	// writeMu serialises the writes of maintainMembers and publishChanges.
	writeMu sync.Mutex

	mu       sync.Mutex
	sequence uint64
	waiters  []chan struct{} // closed when the current record has been written
	version  store.Version
	era      store.Era     // in which the store has acknowledged a record
	written  roster.Record // that the store has acknowledged last
}

// writtenEra returns the era in which the store has acknowledged a record of this daemon.
func (p *publisher) writtenEra() store.Era {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// recordChanged publishes the own record. The returned channel is closed when the store
// has it.
func (s *Sidecar) recordChanged() <-chan struct{} {
	written := make(chan struct{})
	s.publisher.mu.Lock()
	s.publisher.sequence++
	s.publisher.waiters = append(s.publisher.waiters, written)
	s.publisher.mu.Unlock()
	s.announceRecord()
	s.wakePublisher()
	return written
}

// recordStored returns a channel that is closed when the store has a record with the
// present state of the target.
func (s *Sidecar) recordStored() <-chan struct{} {
	own, era := s.ownRecord(), s.storeEra.value()
	stored := make(chan struct{})
	p := &s.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.era >= era && p.written.SameTarget(&own) {
		close(stored)
		return stored
	}
	p.waiters = append(p.waiters, stored)
	s.wakePublisher()
	return stored
}

// wakePublisher makes publishChanges write the own record.
func (s *Sidecar) wakePublisher() {
	select {
	case s.publisher.wake <- struct{}{}:
	default:
	}
}

// announceRecord sends the own record to the other daemons.
func (s *Sidecar) announceRecord() {
	s.roster.Merge(s.ownRecord())
	if s.announcer == nil {
		return
	}
	audience := s.roster.Recipients(s.settings.Load().Place.Region)
	s.announcer.Announce(announce.Update, audience.Direct)
	s.announcer.Announce(announce.Relay, audience.Relays)
}

// substituteRelay sends the own record to another daemon in the region of a relay that
// did not acknowledge it.
func (s *Sidecar) substituteRelay(relay string) {
	if other := s.roster.AlternateRelay(relay); other != "" {
		s.announcer.ReplaceRelay(other)
	}
}

// ownRecord returns the record of this daemon and its target.
func (s *Sidecar) ownRecord() roster.Record {
	settings := s.settings.Load()
	view := s.localTarget.View()
	s.publisher.mu.Lock()
	sequence := s.publisher.sequence
	s.publisher.mu.Unlock()
	return roster.Record{
		Daemon: s.id, Incarnation: s.incarnation(), Sequence: sequence, PeerAddress: settings.PeerAddress(),
		AnnounceAddress: settings.AnnounceAddress(), Place: settings.Place, Service: view.Service,
		Target: view.ID, Born: view.Born, Slots: view.Slots, State: s.ownState(), TargetState: view.State,
		Departures: s.localTarget.Departures(),
	}
}

// publishChanges writes the own record to the store whenever it changes or may have been
// lost.
func (s *Sidecar) publishChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.publisher.wake:
		}
		for pause := minStoreRetryDelay; !s.writeRecord(ctx); pause = min(2*pause, maxStoreRetryDelay) {
			if !wait.For(ctx, jittered(pause)) {
				return nil
			}
		}
	}
}

// writeRecord writes the current record and reports whether the store has it. After a
// conflict, which returns the version to be replaced, it tries again immediately.
func (s *Sidecar) writeRecord(ctx context.Context) bool {
	written := s.tryWriteRecord(ctx) || ctx.Err() == nil && !s.meters.store.down.Load() && s.tryWriteRecord(ctx)
	if written {
		s.memoryKnown()
	}
	return written
}

// memoryKnown applies a heartbeat that has waited for the row of an earlier process. A write
// that the store accepts replaces nothing unread, so that the row is known by then.
func (s *Sidecar) memoryKnown() {
	result := s.localTarget.MemoryKnown(s.now())
	if result != localtarget.Replaced && result != localtarget.Changed {
		return
	}
	view := s.localTarget.View()
	s.log.Info("target: heartbeat confirmed.", "target", view.ID, "born", view.Born, "verdict", result)
	s.observeColdHeartbeat(view.ColdUntil, result, s.now())
	s.targetChanged(result == localtarget.Replaced)
}

func (s *Sidecar) tryWriteRecord(ctx context.Context) bool {
	p := &s.publisher
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.mu.Lock()
	waiters := p.waiters
	version := p.version
	p.mu.Unlock()
	record := s.ownRecord()
	value, err := json.Marshal(record)
	if err != nil {
		s.log.Error("member: encoding the record failed.", "error", err)
		return true
	}
	result, err := s.tables.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: membersTable, Key: string(s.id), Version: version}},
		Writes:     []store.Write{{Table: membersTable, Key: string(s.id), Value: value}},
	})
	if err != nil {
		s.meters.store.reportLost(s.log, err)
		return false
	}
	s.meters.store.reportRegained(s.log)
	s.observeEra(result.Era)
	if !result.Committed {
		s.resolveConflict(result.Conflicts)
		return false
	}
	era := s.eraOf(result.Era)
	if era < s.storeEra.value() {
		return false // committed before the store came back from an older copy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era, p.written = era, record
	if len(result.Versions) > 0 {
		p.version = result.Versions[0]
	}
	for _, w := range waiters {
		close(w)
	}
	p.waiters = p.waiters[len(waiters):]
	return true
}

// resolveConflict adopts the version and content of the own row that an earlier
// process, or a write whose response was lost, has left.
func (s *Sidecar) resolveConflict(rows []store.Row) {
	version := store.Version(0)
	for _, row := range rows {
		version = row.Version
		if version > 0 {
			s.applyOwnRow(row)
		}
	}
	s.publisher.mu.Lock()
	s.publisher.version = version
	s.publisher.mu.Unlock()
}

// decodeRecord decodes the record in a row, which another writer may have left.
func (s *Sidecar) decodeRecord(row store.Row) (roster.Record, error) {
	var r roster.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, err
	}
	if string(r.Daemon) != row.Key {
		return r, errors.Newf("record of daemon %q does not match the key of its row", r.Daemon)
	}
	return r, r.Validate(s.now())
}

// applyOwnRow applies the record that an earlier process of this daemon has left in the
// store.
func (s *Sidecar) applyOwnRow(row store.Row) {
	r, err := s.decodeRecord(row)
	if err != nil {
		s.meters.invalid("row").Inc()
		s.log.Warn("member: invalid own row ignored.", "version", row.Version, "error", err)
		return
	}
	s.recallRecord(r, true)
}

// incarnation distinguishes this process from earlier and later ones of the daemon.
func (s *Sidecar) incarnation() fleet.Incarnation { return fleet.Incarnation(s.ownIncarnation.Load()) }

// raiseIncarnation raises the own incarnation above that of an earlier process.
// Incarnations are taken from the system clock, which may have stepped back since the
// earlier process started; other daemons would then consider this process the older
// one.
func (s *Sidecar) raiseIncarnation(earlier fleet.Incarnation) {
	own := s.incarnation()
	if earlier > own+fleet.Incarnation(roster.MaxClockStep) {
		s.log.Error("daemon: record with an incarnation too far in the future ignored.", "incarnation", earlier, "own", own)
		return
	}
	if earlier <= own || exceedEarlierIncarnation.Off() || !s.ownIncarnation.CompareAndSwap(uint64(own), uint64(earlier)+1) {
		return
	}
	s.sentAttempts.SetIncarnation(earlier + 1)
	s.receivedAttempts.SetIncarnation(earlier + 1)
	s.log.Warn("daemon: the time of day has stepped back since an earlier process.", "earlier", earlier, "incarnation", earlier+1)
	s.recordChanged()
}

// recallRecord applies a record of this daemon, which an earlier process has left in the
// store or with another daemon. The departures in it remain in effect, whatever this process
// has heard before. The target in it is taken over only from the store.
func (s *Sidecar) recallRecord(r roster.Record, stored bool) {
	s.raiseIncarnation(r.Incarnation)
	var m localtarget.Memory
	if !restoreDrain.Off() {
		m.Departures = r.AllDepartures()
	}
	if stored && r.Incarnation < s.incarnation() {
		s.restarted.Store(true)
		m.View = s.recordedView(r)
	}
	known := s.localTarget.Departures()
	result := s.localTarget.Recall(m, s.now())
	if result == localtarget.Unchanged && known.Contains(m.Departures) {
		return
	}
	s.log.Info("target: state recalled.", "target", r.Target, "born", r.Born, "state", s.localTarget.View().State,
		"departures", len(m.Departures), "incarnation", r.Incarnation, "stored", stored, "verdict", result)
	if result != localtarget.Replaced {
		s.recordChanged()
		return
	}
	s.limit.SetSlots(r.Slots)
	s.limit.ResetWarm()
	s.publisher.mu.Lock()
	s.publisher.sequence++ // the record is written next
	s.publisher.mu.Unlock()
}

// recordedView returns the state of the target in a record of an earlier process.
func (s *Sidecar) recordedView(r roster.Record) localtarget.View {
	if r.Target == "" {
		return localtarget.View{}
	}
	return localtarget.View{
		ID: r.Target, Service: r.Service, Address: s.settings.Load().Target, Born: r.Born, Slots: r.Slots, State: r.TargetState,
	}
}
