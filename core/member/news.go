package member

import (
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// headerSize bounds a datagram without news in bytes, apart from the ids in it.
const headerSize = 60

// maxIDs bounds the ids and the configuration digest of a datagram in bytes.
const maxIDs = 256

// item is one piece of news with the number of copies still to send.
type item struct {
	record Record
	left   int
}

// news is the queue of records to pass on. New records go out before those that
// were sent before.
type news struct {
	items         map[fleet.DaemonID]*item
	fresh, resent []*item
	roundAt       time.Time
	tokens        float64
	tokensAt      time.Time

	wanted     fleet.State
	announceAt time.Time

	configVersion uint64
	configDigest  string
	configLeft    int

	// oversized counts records that fit into no datagram. They reach other
	// daemons by reconciliation only.
	oversized int
}

// spreadNews queues a record. It replaces older news of the same member.
func (l *List) spreadNews(r Record) {
	old := l.items[r.Daemon]
	if old != nil && old.record.Incarnation == r.Incarnation && !old.record.notice() && r.notice() {
		// Keeps addresses in the news for members that have not yet heard them.
		whole := old.record
		whole.Detailed = whole.Detailed && whole.DetailsRevision == r.DetailsRevision
		whole.Revision, whole.DetailsRevision = r.Revision, r.DetailsRevision
		whole.State, whole.Health = r.State, r.Health
		r = whole
	}
	if r.size() > MaxDatagram-2*headerSize-maxIDs {
		l.oversized++
		return
	}
	if old != nil {
		old.left = 0
	}
	i := &item{record: r, left: l.copies()}
	l.items[r.Daemon] = i
	l.fresh = append(l.fresh, i)
	l.startRounds()
}

func (l *List) startRounds() {
	if l.roundAt.IsZero() {
		l.roundAt = l.Now()
	}
}

// takeNews returns news that fits into a datagram with the given bytes in use.
func (l *List) takeNews(used int) []Record {
	var out []Record
	used += headerSize
	// Items sent from fresh are appended to resent, beyond limit.
	limit := len(l.resent)
	out, used = l.takeFrom(&l.fresh, len(l.fresh), out, used)
	out, used = l.takeFrom(&l.resent, limit, out, used)
	invariant.Check(used <= MaxDatagram || len(out) == 0, "member-datagram-bounded", "%d bytes", used)
	return out
}

func (l *List) takeFrom(queue *[]*item, limit int, out []Record, used int) ([]Record, int) {
	var again []*item
	n := 0
	for ; n < limit; n++ {
		i := (*queue)[n]
		if i.left <= 0 {
			continue
		}
		size := i.record.size()
		if used+size > MaxDatagram {
			break
		}
		used += size
		out = append(out, i.record)
		i.left--
		if i.left > 0 {
			again = append(again, i)
			continue
		}
		if l.items[i.record.Daemon] == i {
			delete(l.items, i.record.Daemon)
		}
	}
	*queue = (*queue)[n:]
	l.resent = append(l.resent, again...)
	return out, used
}

// round sends one round of gossip if it is due.
func (l *List) round(now time.Time, out *Output) {
	if l.roundAt.IsZero() || now.Before(l.roundAt) {
		return
	}
	if len(l.fresh)+len(l.resent) == 0 && l.configLeft <= 0 {
		l.roundAt = time.Time{}
		return
	}
	l.roundAt = now.Add(GossipInterval)
	for _, e := range l.pick(Fanout, "") {
		if !l.mayGossip() || len(l.fresh)+len(l.resent) == 0 && l.configLeft <= 0 {
			return
		}
		d := l.datagram(Gossip, 0, "")
		l.configLeft--
		if len(d.Updates) == 0 && l.configLeft < 0 {
			continue
		}
		out.Send = append(out.Send, Envelope{To: e.GossipAddress, Datagram: d})
	}
}

// mayGossip reports whether GossipRate allows another datagram with news.
func (l *List) mayGossip() bool {
	now := l.Now()
	l.tokens = min(GossipBurst, l.tokens+now.Sub(l.tokensAt).Seconds()*GossipRate)
	l.tokensAt = now
	return l.tokens >= MaxDatagram
}

// datagram builds a datagram with as much news as fits. Datagrams of indirect
// probes carry no news: in a split there are too many of them.
func (l *List) datagram(k Kind, sequence uint64, subject fleet.DaemonID, first ...Record) Datagram {
	d := Datagram{
		Kind: k, Sequence: sequence, Subject: subject,
		From: l.self.Daemon, FromIncarnation: l.self.Incarnation,
		ConfigVersion: l.configVersion, ConfigDigest: l.configDigest,
		TableDigest: l.digest,
		Updates:     first,
	}
	if k == Nack || k == PingRequest || len(first) > 0 || !l.mayGossip() {
		return d
	}
	d.Updates = l.takeNews(d.size())
	if len(d.Updates) > 0 || k == Gossip {
		l.tokens -= float64(d.size())
	}
	return d
}

// size bounds the encoded size of the datagram in bytes.
func (d *Datagram) size() int {
	n := headerSize + len(d.From) + len(d.Subject) + len(d.ConfigDigest)
	for i := range d.Updates {
		n += d.Updates[i].size()
	}
	return n
}
