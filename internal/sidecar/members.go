package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/io/announce"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
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
	// maxStep bounds how far the time of day is believed to have stepped back.
	maxStep = 366 * 24 * time.Hour
	// snapshotTimeout bounds the reading of another daemon's knowledge.
	snapshotTimeout = time.Second
)

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
	s.node.Announce(announce.News, audience.Direct)
	s.node.Announce(announce.Relay, audience.Relays)
}

// relayLost announces the own record to another daemon of the region of a relay
// that did not acknowledge it.
func (s *Sidecar) relayLost(relay string) {
	if other := s.roster.Substitute(relay); other != "" {
		s.node.Substitute(other)
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

func (s *Sidecar) ownMessage() announce.Message {
	return announce.Message{From: s.ownRecord(), Version: s.holder.Version(), Watching: s.watching.Load()}
}

// received takes over what a datagram says of a daemon.
func (s *Sidecar) received(m announce.Message) {
	if m.From.Daemon == s.id {
		s.recall(m.From)
		return
	}
	alone := s.roster.Len() <= 1
	joined := !s.roster.Knows(m.From.Daemon, m.From.Incarnation)
	fresh := s.roster.Offer(m.From)
	if fresh {
		s.logMember(m.From, "datagram")
	}
	if fresh && m.Purpose == announce.Relay {
		s.node.PassOn(m.From, s.roster.Audience(s.settings.Load().Place.Region).Direct)
	}
	if m.Purpose == announce.Relayed {
		return
	}
	if known, ok := s.roster.Record(m.From.Daemon); ok && known.Incarnation > m.From.Incarnation {
		s.node.PassOn(known, []string{m.From.AnnounceAddress})
	}
	if fresh && joined {
		s.node.Greet(m.From.AnnounceAddress)
	}
	s.roster.Heard(m.From.Daemon)
	s.roster.Watching(m.From.Daemon, m.Watching)
	if alone {
		s.follow(news{address: m.From.PeerAddress, records: true})
	}
	s.newerConfig(m.Version, m.From.PeerAddress)
}

// newerConfig follows a daemon that has a newer configuration.
func (s *Sidecar) newerConfig(v route.Version, peerAddress string) {
	if v > s.holder.Version() && peerAddress != "" {
		s.follow(news{address: peerAddress, version: v})
	}
}

func (s *Sidecar) logMember(r roster.Record, source string) {
	s.log.Info("member: changed.", "daemon", r.Daemon, "incarnation", r.Incarnation, "sequence", r.Sequence,
		"service", r.Service, "target", r.Target, "state", r.State, "zone", r.Place.AvailabilityZone, "source", source)
}

// refreshTargets gives the known targets to the chooser.
func (s *Sidecar) refreshTargets() { s.chooser.SetTargets(s.roster.Targets()) }

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
		s.node.Greet(addresses[(round*n+i)%len(addresses)])
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
			s.takeRow(row)
			after = row.Key
		}
		if len(rows) < listLimit {
			return true
		}
	}
}

// takeRow merges one row.
func (s *Sidecar) takeRow(row store.Row) {
	r, err := decodeRecord(row)
	if err != nil {
		s.log.Warn("member: row set aside.", "key", row.Key, "version", row.Version, "error", err)
		return
	}
	if r.Daemon == s.id {
		s.outlive(r.Incarnation)
	} else if s.roster.Offer(r) {
		s.logMember(r, "store")
	}
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
	if earlier <= own || !s.started.CompareAndSwap(uint64(own), uint64(earlier)+1) {
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
	if r.TargetState == fleet.Draining {
		view.DrainedAt = s.now()
	}
	if !s.local.Restore(view, s.now()) {
		return
	}
	s.limit.SetSlots(r.Slots)
	s.limit.Restart()
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
		if s.roster.Offer(record) {
			s.logMember(record, address)
		}
	}
	if len(got.Config) > 0 {
		s.offerConfig(got.Config, address)
	}
	return nil
}
