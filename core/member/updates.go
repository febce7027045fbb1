package member

import (
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// headerSize is the maximum size in bytes of a datagram without updates, IDs and
// configuration digest.
const headerSize = 60

// maxIDBytes is the maximum size in bytes of the IDs and the configuration digest
// of a datagram.
const maxIDBytes = 256

// queuedUpdate is a record to gossip with its remaining number of transmissions.
type queuedUpdate struct {
	record        Record
	transmitsLeft int
}

// updateQueue holds the records to gossip. Records that have not been sent yet
// have priority over those that have.
type updateQueue struct {
	queued        map[fleet.DaemonID]*queuedUpdate
	fresh, resent []*queuedUpdate
	gossipAt      time.Time
	tokens        float64
	tokensAt      time.Time

	pendingState fleet.State
	announceAt   time.Time

	configVersion       uint64
	configDigest        string
	configTransmitsLeft int

	// oversized counts records that exceed the size of a datagram. They reach
	// other daemons by reconciliation only.
	oversized int
}

// enqueueUpdate queues a record for gossip, replacing a queued record of the same
// member.
func (l *List) enqueueUpdate(r Record) {
	old := l.queued[r.Daemon]
	if old != nil && old.record.Incarnation == r.Incarnation && !old.record.isStateUpdate() && r.isStateUpdate() {
		// Keeps the addresses queued for members that have not received them yet.
		whole := old.record
		whole.Detailed = whole.Detailed && whole.DetailsRevision == r.DetailsRevision
		whole.Revision, whole.DetailsRevision = r.Revision, r.DetailsRevision
		whole.State, whole.Health = r.State, r.Health
		r = whole
	}
	if r.sizeBound() > MaxDatagram-2*headerSize-maxIDBytes {
		l.oversized++
		return
	}
	if old != nil {
		old.transmitsLeft = 0
	}
	i := &queuedUpdate{record: r, transmitsLeft: l.transmitLimit()}
	l.queued[r.Daemon] = i
	l.fresh = append(l.fresh, i)
	l.scheduleGossip()
}

// scheduleGossip starts gossip rounds if none are due.
func (l *List) scheduleGossip() {
	if l.gossipAt.IsZero() {
		l.gossipAt = l.Now()
	}
}

// takeUpdates dequeues the updates that fit into a datagram of which the given
// number of bytes are in use.
func (l *List) takeUpdates(used int) []Record {
	var out []Record
	used += headerSize
	// Updates sent from fresh are appended to resent, beyond limit.
	limit := len(l.resent)
	out, used = l.takeFrom(&l.fresh, len(l.fresh), out, used)
	out, used = l.takeFrom(&l.resent, limit, out, used)
	invariant.Check(used <= MaxDatagram || len(out) == 0, "member-datagram-bounded", "%d bytes", used)
	return out
}

// takeFrom appends updates from the first limit elements of a queue to out.
func (l *List) takeFrom(queue *[]*queuedUpdate, limit int, out []Record, used int) ([]Record, int) {
	var again []*queuedUpdate
	n := 0
	for ; n < limit; n++ {
		i := (*queue)[n]
		if i.transmitsLeft <= 0 {
			continue
		}
		size := i.record.sizeBound()
		if used+size > MaxDatagram {
			break
		}
		used += size
		out = append(out, i.record)
		i.transmitsLeft--
		if i.transmitsLeft > 0 {
			again = append(again, i)
			continue
		}
		if l.queued[i.record.Daemon] == i {
			delete(l.queued, i.record.Daemon)
		}
	}
	*queue = (*queue)[n:]
	l.resent = append(l.resent, again...)
	return out, used
}

// gossipRound sends the datagrams of one gossip round if it is due.
func (l *List) gossipRound(now time.Time, out *Output) {
	if l.gossipAt.IsZero() || now.Before(l.gossipAt) {
		return
	}
	if len(l.fresh)+len(l.resent) == 0 && l.configTransmitsLeft <= 0 {
		l.gossipAt = time.Time{}
		return
	}
	l.gossipAt = now.Add(GossipInterval)
	for _, e := range l.pickRandom(Fanout, "") {
		if !l.mayGossip() || len(l.fresh)+len(l.resent) == 0 && l.configTransmitsLeft <= 0 {
			return
		}
		d := l.datagram(Gossip, 0, "")
		l.configTransmitsLeft--
		if len(d.Updates) == 0 && l.configTransmitsLeft < 0 {
			continue
		}
		out.Send = append(out.Send, Envelope{To: e.GossipAddress, Datagram: d})
	}
}

// mayGossip reports whether GossipRate allows another datagram with updates.
func (l *List) mayGossip() bool {
	now := l.Now()
	l.tokens = min(GossipBurst, l.tokens+now.Sub(l.tokensAt).Seconds()*GossipRate)
	l.tokensAt = now
	return l.tokens >= MaxDatagram
}

// datagram builds a datagram with the given updates or, if there are none, with as
// many queued updates as fit. Datagrams of indirect probes carry no queued
// updates: a network partition causes too many of them.
func (l *List) datagram(k Kind, sequence uint64, subject fleet.DaemonID, updates ...Record) Datagram {
	d := Datagram{
		Kind: k, Sequence: sequence, Subject: subject,
		From: l.self.Daemon, FromIncarnation: l.self.Incarnation,
		ConfigVersion: l.configVersion, ConfigDigest: l.configDigest,
		TableDigest: l.digest,
		Updates:     updates,
	}
	if k == Nack || k == PingRequest || len(updates) > 0 || !l.mayGossip() {
		return d
	}
	d.Updates = l.takeUpdates(d.sizeBound())
	if len(d.Updates) > 0 || k == Gossip {
		l.tokens -= float64(d.sizeBound())
	}
	return d
}

// sizeBound returns an upper bound of the encoded size of d in bytes.
func (d *Datagram) sizeBound() int {
	n := headerSize + len(d.From) + len(d.Subject) + len(d.ConfigDigest)
	for i := range d.Updates {
		n += d.Updates[i].sizeBound()
	}
	return n
}
