package member

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// entry is a member with this daemon's view of it. Health is Alive, Suspect or
// Dead.
type entry struct {
	Record
	hash uint64
	// heldDetailsRevision is the DetailsRevision of the details in Record.
	heldDetailsRevision Revision
	// suspectedAt is when this daemon began to suspect the member.
	suspectedAt time.Time
	// probeFailed is set when direct and indirect probes by this daemon failed,
	// nacked when a helper got no answer either.
	probeFailed, nacked bool
	// failedSequence is the sequence number of the probe that led to the suspicion.
	failedSequence uint64
	// reported is set when another daemon has declared the member dead.
	reported bool
	// unverified is set when that report may be outdated.
	unverified bool
	// verifying is set while a verification probe is queued or open.
	verifying bool
	lostAt    time.Time
	// retained is set on dead members that stay in the list as Unreachable.
	retained bool
}

func (e *entry) visible() bool {
	return e.Health != Dead || e.retained
}

// publicRecord returns the record as the API of List reports it.
func (e *entry) publicRecord() Record {
	r := e.Record
	if r.Health == Dead {
		r.Health = Unreachable
	}
	r.KeySlots = slices.Clone(r.KeySlots)
	return r
}

// List is one daemon's list of the members of the fleet, created by New. The
// methods may be called from several goroutines.
type List struct {
	// Now is the clock. It must have a monotonic reading.
	Now func() time.Time
	// OnChange is called for each change of a member of a subscribed service,
	// in order, one call at a time. It must not call methods that change the list.
	OnChange func(Change)
	// Seeds are the configured gossip addresses of seed peers.
	Seeds []string

	// deliverMu serialises calls of OnChange.
	deliverMu sync.Mutex

	mu         sync.Mutex
	random     *rand.Rand
	self       Record
	selfHash   uint64
	superseded bool
	entries    map[fleet.DaemonID]*entry
	services   map[fleet.Service]map[fleet.DaemonID]*entry
	// ring holds the members that are not dead, in order of hash.
	ring           []*entry
	subscribed     map[fleet.Service]bool
	pendingChanges []Change
	digest         uint64
	buckets        [Buckets]uint64

	prober
	updateQueue
	reconnector
	reconciler
}

// Option configures a List in New.
type Option func(*List)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(l *List) { l.Now = now }
}

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) Option {
	return func(l *List) { l.random = rand.New(rand.NewPCG(seed, 2)) }
}

// WithSeeds sets the gossip addresses of the seed peers.
func WithSeeds(addresses ...string) Option {
	return func(l *List) { l.Seeds = addresses }
}

// WithOnChange sets the callback for changes of subscribed services.
func WithOnChange(f func(Change)) Option {
	return func(l *List) { l.OnChange = f }
}

// WithRandomProbes makes the list probe random members only, as plain SWIM does.
// Package internal/slopes compares it with probes of ring neighbours.
func WithRandomProbes() Option {
	return func(l *List) { l.randomProbes = true }
}

// New returns a list that holds only the daemon's own target. The target's
// service is subscribed.
func New(self fleet.Target, options ...Option) *List {
	l := &List{
		Now:        time.Now,
		random:     rand.New(rand.NewPCG(uint64(self.Incarnation), hashID(self.Daemon))),
		self:       Record{Target: self, Revision: 1, DetailsRevision: 1, Health: Alive, Detailed: true},
		selfHash:   hashID(self.Daemon),
		entries:    map[fleet.DaemonID]*entry{},
		services:   map[fleet.Service]map[fleet.DaemonID]*entry{},
		subscribed: map[fleet.Service]bool{self.Service: true},
	}
	for _, o := range options {
		o(l)
	}
	now := l.Now()
	l.lastTick = now
	l.probeAt = now.Add(l.jitter(ProbeInterval))
	l.reconnectAt = now.Add(l.jitter(ReconnectInterval))
	l.seedAt = now.Add(l.jitter(SeedInterval))
	l.sweepAt = now.Add(sweepInterval)
	l.open = map[uint64]*probe{}
	l.queued = map[fleet.DaemonID]*queuedUpdate{}
	l.tokens, l.tokensAt = GossipBurst, now
	l.toggleDigest(l.selfHash, &l.self)
	l.enqueueUpdate(l.self)
	return l
}

func (l *List) jitter(d time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(d)))
}

// Self returns this daemon's own record.
func (l *List) Self() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.self
	r.KeySlots = slices.Clone(r.KeySlots)
	return r
}

// Superseded reports whether a later process with the same daemon ID has
// announced itself. This process should then stop.
func (l *List) Superseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.superseded
}

// Subscribe requests the details of the members of a service and change events
// for them. The next Tick requests an exchange with a member of the service.
func (l *List) Subscribe(s fleet.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribed[s] = true
}

// Unsubscribe ends the subscription to a service and drops the details of its
// members. This daemon's own service stays subscribed.
func (l *List) Unsubscribe(s fleet.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == l.self.Service {
		return
	}
	delete(l.subscribed, s)
	for _, e := range l.services[s] {
		e.Record, e.heldDetailsRevision = e.withoutDetails(), 0
	}
}

// Members returns the other members of a service in order of ID, including
// suspected and unreachable ones.
func (l *List) Members(s fleet.Service) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for _, e := range l.services[s] {
		if e.visible() {
			out = append(out, e.publicRecord())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Daemon < out[j].Daemon })
	return out
}

// All returns all other members, in no particular order.
func (l *List) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, 0, len(l.entries))
	for _, e := range l.entries {
		if e.visible() {
			out = append(out, e.publicRecord())
		}
	}
	return out
}

// Get returns the record of another member.
func (l *List) Get(id fleet.DaemonID) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.visible() {
		return e.publicRecord(), true
	}
	return Record{}, false
}

// PeerAddress returns the peer address of a member, dead ones included, or "" if
// the member is unknown.
func (l *List) PeerAddress(id fleet.DaemonID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.PeerAddress
	}
	return ""
}

// Joined reports whether a peer has answered a reconciliation.
func (l *List) Joined() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.joined
}

// Size returns the number of members, including this daemon and unreachable
// members.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ring) + l.retainedCount + 1
}

// Counts returns the number of members by health, including this daemon.
func (l *List) Counts() map[Health]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[Health]int{Alive: 1, Unreachable: l.retainedCount}
	for _, e := range l.ring {
		counts[e.Health]++
	}
	return counts
}

// SetState sets the state of this daemon's target. Draining and Leaving are
// announced at once. A return to Cold or Serving is announced no sooner than
// AnnounceInterval after the previous one.
func (l *List) SetState(s fleet.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingState = s
	l.announceState(l.Now())
}

func (l *List) announceState(now time.Time) {
	if l.pendingState == "" || l.pendingState == l.self.State {
		l.pendingState = ""
		return
	}
	if l.pendingState.TakesWork() && now.Before(l.announceAt) {
		return
	}
	if l.pendingState.TakesWork() {
		l.announceAt = now.Add(AnnounceInterval)
	}
	l.changeSelf(func() { l.self.State = l.pendingState })
	l.enqueueUpdate(l.self.stateUpdate())
	l.pendingState = ""
}

// SetSlots sets the number of slots of this daemon's target.
func (l *List) SetSlots(n fleet.Slots) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.Slots == n {
		return
	}
	l.changeDetails(func() { l.self.Slots = n })
}

// SetKeySlots sets the key slots that this daemon owns.
func (l *List) SetKeySlots(k []KeySlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.self.KeySlots, k) {
		return
	}
	l.changeDetails(func() { l.self.KeySlots = slices.Clone(k) })
}

func (l *List) changeDetails(change func()) {
	l.changeSelf(func() {
		change()
		l.self.DetailsRevision = l.self.Revision
	})
	l.enqueueUpdate(l.self)
}

func (l *List) changeSelf(change func()) {
	l.toggleDigest(l.selfHash, &l.self)
	l.self.Revision++
	change()
	l.toggleDigest(l.selfHash, &l.self)
}

// SetConfig sets the configuration version in force, which each datagram carries.
// A higher version starts gossip rounds.
func (l *List) SetConfig(version uint64, digest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.configVersion {
		return
	}
	l.configVersion, l.configDigest = version, digest
	l.configTransmitsLeft = l.transmitLimit()
	l.scheduleGossip()
}

// toggleDigest adds a record to the digests, or removes it if they contain it.
func (l *List) toggleDigest(hash uint64, r *Record) {
	f := fingerprint(hash, r.Incarnation, r.Revision)
	l.digest ^= f
	l.buckets[hash%Buckets] ^= f
}

// origin is the channel by which a record arrived.
type origin int

const (
	fromGossip origin = iota
	// fromExchange marks records of a reconciliation. They are not forwarded.
	// Deaths that they report may be outdated and are verified by a probe.
	fromExchange
)

// apply merges a record received from another daemon and reports whether it was
// new.
func (l *List) apply(r Record, from origin, now time.Time) bool {
	if r.Daemon == l.self.Daemon {
		l.refuteSelf(r)
		return false
	}
	e := l.entries[r.Daemon]
	if e == nil || r.Incarnation > e.Incarnation {
		// A state update for an unknown process has no addresses. Reconciliation
		// delivers the complete record.
		if r.isStateUpdate() || r.Health == Dead || !r.State.Valid() {
			return false
		}
		e = l.insert(e, r)
		l.forward(r, from)
		l.queueChange(e)
		return true
	}
	if !r.supersedes(&e.Record) {
		l.storeDetails(e, r)
		return false
	}
	switch r.Health {
	case Suspect:
		if e.Health == Dead {
			// The member has refuted its death and is suspected again.
			l.update(e, r)
		}
		l.suspect(e, r.Revision, now)
		l.forward(r, from)
	case Dead, Unreachable:
		l.handleDeathReport(e, r, from, now)
	case Alive:
		l.update(e, r)
		l.forward(r, from)
	}
	return true
}

// forward queues a record received by gossip for further gossip.
func (l *List) forward(r Record, from origin) {
	if from == fromGossip {
		l.enqueueUpdate(r)
	}
}

// insert adds the record of a new process, replacing the earlier process of the
// same daemon.
func (l *List) insert(old *entry, r Record) *entry {
	if old != nil {
		l.removeEntry(old)
	}
	e := &entry{Record: r.withoutDetails(), hash: hashID(r.Daemon)}
	e.Health = Alive
	l.entries[r.Daemon] = e
	group := l.services[r.Service]
	if group == nil {
		group = map[fleet.DaemonID]*entry{}
		l.services[r.Service] = group
	}
	group[r.Daemon] = e
	l.enterRing(e)
	l.storeDetails(e, r)
	if r.Health == Suspect {
		l.suspect(e, r.Revision, l.Now())
	}
	return e
}

// removeEntry deletes an entry from all indexes.
func (l *List) removeEntry(e *entry) {
	l.leaveRing(e)
	l.setRetained(e, false)
	delete(l.entries, e.Daemon)
	group := l.services[e.Service]
	delete(group, e.Daemon)
	if len(group) == 0 {
		delete(l.services, e.Service)
	}
	delete(l.suspects, e.Daemon)
	delete(l.lost, e.Daemon)
}

// update applies a higher revision of a member and marks the member alive.
func (l *List) update(e *entry, r Record) {
	invariant.Check(r.Incarnation == e.Incarnation && r.Revision >= e.Revision, "member-record-never-reverts",
		"%s: %d/%d after %d/%d", e.Daemon, r.Incarnation, r.Revision, e.Incarnation, e.Revision)
	l.leaveRing(e)
	l.setRetained(e, false)
	e.Revision, e.DetailsRevision, e.State, e.Health = r.Revision, r.DetailsRevision, r.State, Alive
	l.enterRing(e)
	l.clearSuspicion(e)
	delete(l.lost, e.Daemon)
	l.storeDetails(e, r)
	l.queueChange(e)
}

// storeDetails stores the details of r if they are newer and the service is
// subscribed.
func (l *List) storeDetails(e *entry, r Record) {
	fresh := r.Detailed && r.Incarnation == e.Incarnation && r.DetailsRevision > e.heldDetailsRevision
	if !fresh || !l.subscribed[e.Service] {
		return
	}
	e.Slots, e.KeySlots, e.Detailed = r.Slots, slices.Clone(r.KeySlots), true
	e.heldDetailsRevision = r.DetailsRevision
	l.queueChange(e)
}

// refuteSelf handles a received record of this daemon: it refutes a report that
// this daemon has failed, and notes a later process with its ID.
func (l *List) refuteSelf(r Record) {
	if r.Incarnation > l.self.Incarnation {
		l.superseded = true
		return
	}
	if r.Incarnation < l.self.Incarnation || r.Revision < l.self.Revision || r.Health == Alive {
		return
	}
	l.changeSelf(func() { l.self.Revision = r.Revision + 1 })
	l.refutations++
	l.enqueueUpdate(l.self.stateUpdate())
}

// enterRing adds an entry that is not dead to the ring and the digests.
func (l *List) enterRing(e *entry) {
	i := l.ringIndex(e.hash)
	l.ring = slices.Insert(l.ring, i, e)
	l.toggleDigest(e.hash, &e.Record)
}

// leaveRing removes an entry from the ring and the digests. It does nothing if
// the entry is dead.
func (l *List) leaveRing(e *entry) {
	if e.Health == Dead {
		return
	}
	for i := l.ringIndex(e.hash); i < len(l.ring) && l.ring[i].hash == e.hash; i++ {
		if l.ring[i] == e {
			l.ring = slices.Delete(l.ring, i, i+1)
			l.toggleDigest(e.hash, &e.Record)
			return
		}
	}
}

// ringIndex returns the index of the first entry with at least the given hash.
func (l *List) ringIndex(hash uint64) int {
	return sort.Search(len(l.ring), func(i int) bool { return l.ring[i].hash >= hash })
}

// forEach calls f for all entries in a deterministic order.
func (l *List) forEach(f func(*entry)) {
	for _, e := range l.ring {
		f(e)
	}
	for _, id := range slices.Sorted(maps.Keys(l.lost)) {
		f(l.lost[id])
	}
}

// queueChange queues a change event if the member's service is subscribed.
func (l *List) queueChange(e *entry) {
	if l.OnChange == nil || !l.subscribed[e.Service] {
		return
	}
	l.pendingChanges = append(l.pendingChanges, Change{Member: e.publicRecord(), Removed: !e.visible()})
}

// deliverChanges calls OnChange for the queued changes, without holding the lock
// on the list.
func (l *List) deliverChanges() {
	if l.OnChange == nil {
		return
	}
	l.deliverMu.Lock()
	defer l.deliverMu.Unlock()
	l.mu.Lock()
	changes := l.pendingChanges
	l.pendingChanges = nil
	l.mu.Unlock()
	for _, c := range changes {
		l.OnChange(c)
	}
}

// pickRandom returns up to n distinct random members that are neither dead nor
// excluded.
func (l *List) pickRandom(n int, excluded fleet.DaemonID) []*entry {
	var out []*entry
	for tries := 0; len(out) < n && tries < 4*n && len(l.ring) > 0; tries++ {
		e := l.ring[l.random.IntN(len(l.ring))]
		if e.Daemon != excluded && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// minTransmits is the minimum of transmitLimit. In a fleet of five, three copies
// miss one member in twenty until the tables are compared, a second later.
const minTransmits = 8

// transmitLimit returns the number of times that one daemon sends an update. Push
// gossip with c copies misses a share of about exp(-c) of the members; 1.5 ln n
// copies miss fewer than 0.02 members at 3,400, which reconciliation repairs.
func (l *List) transmitLimit() int {
	return max(minTransmits, int(math.Ceil(1.5*math.Log(float64(len(l.ring)+2)))))
}
