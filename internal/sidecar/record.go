package sidecar

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/roster"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/io/announce"

	"github.com/cockroachdb/errors"
)

// maxStep bounds how far the time of day is believed to have stepped back.
const maxStep = 366 * 24 * time.Hour

// publisher writes the own record to the store. A change that comes while a
// write is under way is written next.
type publisher struct {
	wake chan struct{}
	// writing is held by a write: keepMembers and publish both write.
	writing sync.Mutex

	mu       sync.Mutex
	sequence uint64
	waiting  []chan struct{} // closed when the record of the moment is written
	version  store.Version
}

// changed makes the own record known. The returned channel is closed when the
// store has it.
func (s *Sidecar) changed() <-chan struct{} {
	written := make(chan struct{})
	s.publisher.mu.Lock()
	s.publisher.sequence++
	s.publisher.waiting = append(s.publisher.waiting, written)
	s.publisher.mu.Unlock()
	s.announceOwn()
	select {
	case s.publisher.wake <- struct{}{}:
	default:
	}
	return written
}

// announceOwn tells the other daemons the own record.
func (s *Sidecar) announceOwn() {
	s.roster.Offer(s.ownRecord())
	if s.node == nil {
		return
	}
	audience := s.roster.Audience(s.settings.Load().Place.Region)
	s.node.Announce(announce.Update, audience.Direct)
	s.node.Announce(announce.Relay, audience.Relays)
}

// relayLost announces the own record to another daemon of the region of a relay
// that did not acknowledge it.
func (s *Sidecar) relayLost(relay string) {
	if other := s.roster.Substitute(relay); other != "" {
		s.node.ReplaceRelay(other)
	}
}

// ownRecord describes this daemon and its target.
func (s *Sidecar) ownRecord() roster.Record {
	settings := s.settings.Load()
	view := s.local.View()
	s.publisher.mu.Lock()
	sequence := s.publisher.sequence
	s.publisher.mu.Unlock()
	return roster.Record{
		Daemon: s.id, Incarnation: s.incarnation(), Sequence: sequence, PeerAddress: settings.PeerAddress(),
		AnnounceAddress: settings.AnnounceAddress(), Place: settings.Place, Service: view.Service,
		Target: view.ID, Born: view.Born, Slots: view.Slots, State: s.ownState(), TargetState: view.State,
	}
}

// publish writes the own record whenever it changes.
func (s *Sidecar) publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.publisher.wake:
		}
		for pause := storeRetry; !s.writeRecord(ctx); pause = min(2*pause, maxStoreRetry) {
			if !wait.For(ctx, jittered(pause)) {
				return nil
			}
		}
	}
}

// writeRecord writes the record of the moment and reports whether the store has
// it. A conflict tells the version to replace, so that the next try is made at once.
func (s *Sidecar) writeRecord(ctx context.Context) bool {
	return s.tryRecord(ctx) || ctx.Err() == nil && !s.meters.store.gone.Load() && s.tryRecord(ctx)
}

func (s *Sidecar) tryRecord(ctx context.Context) bool {
	p := &s.publisher
	p.writing.Lock()
	defer p.writing.Unlock()
	p.mu.Lock()
	waiting := p.waiting
	version := p.version
	p.mu.Unlock()
	value, err := json.Marshal(s.ownRecord())
	if err != nil {
		s.log.Error("member: record not encoded.", "error", err)
		return true
	}
	result, err := s.tables.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Table: membersTable, Key: string(s.id), Version: version}},
		Writes:     []store.Write{{Table: membersTable, Key: string(s.id), Value: value}},
	})
	if err != nil {
		s.meters.store.lost(s.log, err)
		return false
	}
	s.meters.store.regained(s.log)
	if !result.Committed {
		s.meetConflict(result.Conflicts)
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(result.Versions) > 0 {
		p.version = result.Versions[0]
	}
	for _, w := range waiting {
		close(w)
	}
	p.waiting = p.waiting[len(waiting):]
	return true
}

// meetConflict takes over the own row as an earlier process, or a write whose
// answer was lost, has left it.
func (s *Sidecar) meetConflict(rows []store.Row) {
	version := store.Version(0)
	for _, row := range rows {
		version = row.Version
		if version > 0 {
			s.meetOwnRow(row)
		}
	}
	s.publisher.mu.Lock()
	s.publisher.version = version
	s.publisher.mu.Unlock()
}

func decodeRecord(row store.Row) (roster.Record, error) {
	var r roster.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, err
	}
	if string(r.Daemon) != row.Key {
		return r, errors.Newf("the row names the daemon %q", r.Daemon)
	}
	return r, nil
}

// meetOwnRow takes over what the own row says of an earlier process.
func (s *Sidecar) meetOwnRow(row store.Row) {
	r, err := decodeRecord(row)
	if err != nil {
		s.log.Warn("member: own row set aside.", "version", row.Version, "error", err)
		return
	}
	s.outlive(r.Incarnation)
	if r.Incarnation < s.incarnation() {
		s.restore(r, row.Version)
	}
}

// incarnation tells this process from earlier and later ones of the daemon.
func (s *Sidecar) incarnation() fleet.Incarnation { return fleet.Incarnation(s.started.Load()) }

// outlive raises the own incarnation above that of an earlier process. The time
// of day, from which incarnations come, may have stepped back since it started;
// other daemons would take this process for the older one.
func (s *Sidecar) outlive(earlier fleet.Incarnation) {
	own := s.incarnation()
	if earlier > own+fleet.Incarnation(maxStep) {
		s.log.Error("daemon: record of an impossible process set aside.", "incarnation", earlier, "own", own)
		return
	}
	if earlier <= own || outliveEarlier.Off() || !s.started.CompareAndSwap(uint64(own), uint64(earlier)+1) {
		return
	}
	s.opener.Renew(earlier + 1)
	s.table.Renew(earlier + 1)
	s.log.Warn("daemon: the time of day has stepped back since an earlier process.", "earlier", earlier, "incarnation", earlier+1)
	s.changed()
}

// restore takes over the state of the target that an earlier process recorded.
func (s *Sidecar) restore(r roster.Record, version store.Version) {
	if r.Target == "" {
		return
	}
	view := localtarget.View{
		ID: r.Target, Service: r.Service, Address: s.settings.Load().Target, Born: r.Born, Slots: r.Slots, State: r.TargetState,
	}
	if r.TargetState == fleet.Draining && !restoreDrain.Off() {
		view.DrainedAt = s.now()
	}
	if !s.local.Restore(view, s.now()) {
		return
	}
	s.limit.SetSlots(r.Slots)
	s.limit.ResetWarm()
	s.publisher.mu.Lock()
	s.publisher.sequence++
	s.publisher.mu.Unlock()
	s.log.Info("target: state restored.", "target", r.Target, "state", s.local.View().State, "version", version)
}

// recall takes over what other daemons remember of an earlier process: its
// incarnation, and a drain that it acknowledged.
func (s *Sidecar) recall(r roster.Record) {
	s.outlive(r.Incarnation)
	if r.Incarnation == s.incarnation() || r.TargetState != fleet.Draining || r.Target == "" {
		return
	}
	if verdict := s.local.Leave(r.Target, r.Born, s.now()); verdict == localtarget.Changed {
		s.log.Warn("target: drain recalled.", "target", r.Target, "born", r.Born, "incarnation", r.Incarnation)
		s.changed()
	}
}
