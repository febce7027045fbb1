// Package member keeps the list of the daemons of a fleet and detects which of
// them have failed.
//
// Each daemon owns one record, its own, and raises the record's revision with
// each change. Records travel as news on probe datagrams and on short rounds of
// gossip. A daemon probes its three successors on a ring of hashed ids and one
// random member; a member that does not answer directly nor through helpers is
// suspected, may refute, and is otherwise declared dead.
//
// The package does no I/O. The caller passes in received datagrams, calls Tick
// when a deadline has passed, and sends the datagrams that both return.
//
// Probing and refutation follow SWIM (Das, Gupta, Motivala 2002) with the
// negative acknowledgements and the self-check of Lifeguard (Dadgar, Phillips,
// Currey 2018). Probing the right neighbours on a ring is an idea of SmartBoa
// (Hu et al., Tsinghua University); docs/decisions/membership.md has the figures.
package member

import (
	"slices"
	"time"

	"pollenscale/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Revision orders the records that one incarnation of a daemon publishes.
type Revision uint64

// Health is what a daemon believes about a member.
type Health string

// The health of a member.
const (
	Alive   Health = "Alive"
	Suspect Health = "Suspect" // did not answer probes, may still refute
	// Unreachable members were lost in bulk or as the last of their service.
	// They are kept in the list and probed, because a cut looks the same.
	Unreachable Health = "Unreachable"
	Dead        Health = "Dead"
)

// Kind is the kind of a datagram.
type Kind string

// The kinds of datagram.
const (
	Ping        Kind = "Ping"
	Ack         Kind = "Ack"
	Nack        Kind = "Nack"        // the helper got no answer either
	PingRequest Kind = "PingRequest" // asks a helper to probe the subject
	Gossip      Kind = "Gossip"      // news only
)

// Timing of failure detection. The worst ordinary case adds up to less than
// 2 s: 600 ms until one of three monitors probes, 150 ms and 200 ms for the two
// time-outs, 500 ms of suspicion and about 300 ms until the news is everywhere.
const (
	// ProbeInterval is the time between two probes of one daemon. A round has
	// 4 probes, so that each ring neighbour is probed every 600 ms.
	ProbeInterval = 150 * time.Millisecond
	// PingTimeout is 9 round trips between regions (16 ms), so that queueing on
	// a busy VM seldom starts an indirect probe.
	PingTimeout = 150 * time.Millisecond
	// HelperTimeout is how long a helper waits before it answers Nack. It is
	// shorter than IndirectTimeout by more than two round trips.
	HelperTimeout = 100 * time.Millisecond
	// IndirectTimeout is the time for an indirect probe before suspicion starts.
	IndirectTimeout = 200 * time.Millisecond
	// SuspicionTimeout leaves a suspected member time to refute: one way to
	// the member and a spread of its answer, 350 ms in the slowest measured case.
	SuspicionTimeout = 500 * time.Millisecond
	// GossipInterval is the time between rounds of gossip while there is news.
	// It exceeds one round trip between regions, so that rounds do not overlap.
	GossipInterval = 50 * time.Millisecond
	// PauseThreshold is the gap between two ticks after which this process
	// counts as paused: answers may be waiting unread, so that its open probes
	// prove nothing.
	PauseThreshold = 300 * time.Millisecond
	// HealInterval is the time between probes of lost members.
	HealInterval = 500 * time.Millisecond
	// SeedInterval is the time between probes of a seed address that belongs to
	// no live member. It rejoins the sides of a split that outlasted RememberFor.
	SeedInterval = 30 * time.Second
	// StaleSuspicion is the age at which a suspicion that nobody settled is
	// checked by an own probe.
	StaleSuspicion = 2 * time.Second
	// AnnounceInterval is the least time between announcements of readiness, so
	// that a flapping target causes at most 2 announcements per interval.
	AnnounceInterval = time.Second
	// LossWindow is the time in which losses count together as a bulk loss.
	LossWindow = 10 * time.Second
	// KeepUnreachable covers region splits, which last minutes.
	KeepUnreachable = 15 * time.Minute
	// RememberFor is how long a dead member is remembered and probed, so that
	// old news cannot bring it back and a healed cut is noticed.
	RememberFor = time.Hour
)

// Sizes of the protocol.
const (
	// Monitors is the number of ring neighbours that each daemon probes.
	Monitors = 3
	// Helpers is the number of members asked to probe indirectly.
	Helpers = 3
	// Fanout is the number of members that one round of gossip reaches.
	Fanout = 4
	// MaxDatagram bounds a datagram in bytes, below the usual path MTU of 1,500.
	MaxDatagram = 1200
	// Buckets is the number of digests in a reconciliation.
	Buckets = 64
	// BulkLosses and BulkPercent set the least number of losses within
	// LossWindow that counts as a bulk loss. Independent failures (18 a day)
	// reach 3 in 10 s less than once in a century.
	BulkLosses  = 3
	BulkPercent = 1
	// GossipRate and GossipBurst bound the bytes of datagrams with news that one
	// daemon sends. Without the bound a region split cost 45 KB/s at 400 daemons. Received bytes match sent bytes on average, so that both together
	// stay below the control budget of 27 KB/s.
	GossipRate  = 8 << 10
	GossipBurst = 256 << 10
	// VerifyRate is the number of direct probes per second by which reports of
	// a bulk loss are verified. A failed one costs about 450 bytes with its
	// indirect probe; a zone of 284 is verified in 1.4 s.
	VerifyRate = 200
)

// KeySlot is a key slot that a member owns, with the token of its lease.
type KeySlot struct {
	Slot  string
	Token uint64
}

// Record is what one daemon publishes about itself, and what others believe of it.
type Record struct {
	// Target has Slots only in a detailed record.
	fleet.Target
	Revision Revision
	// DetailsRevision is the revision of the last change other than of State.
	DetailsRevision Revision
	Health          Health
	// Detailed is set when Slots and KeySlots are known.
	Detailed bool
	KeySlots []KeySlot
}

// notice reports whether r carries only id, incarnation, revisions, state and health.
func (r *Record) notice() bool {
	return r.GossipAddress == ""
}

// asNotice returns r without addresses and details.
func (r *Record) asNotice() Record {
	return Record{
		Target:          fleet.Target{Daemon: r.Daemon, Incarnation: r.Incarnation, State: r.State},
		Revision:        r.Revision,
		DetailsRevision: r.DetailsRevision,
		Health:          r.Health,
	}
}

// short returns r without details.
func (r *Record) short() Record {
	s := *r
	s.Slots, s.KeySlots, s.Detailed = 0, nil, false
	return s
}

// newer reports whether r supersedes o.
func (r *Record) newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Revision != o.Revision {
		return r.Revision > o.Revision
	}
	return rank(r.Health) > rank(o.Health)
}

func rank(h Health) int {
	switch h {
	case Suspect:
		return 1
	case Dead, Unreachable:
		return 2
	case Alive:
	}
	return 0
}

// size bounds the encoded size of r in bytes. Each field has at most 2 bytes of
// tag and length, and integers have at most 10 bytes.
func (r *Record) size() int {
	n := 8 + len(r.Daemon) + len(r.PeerAddress) + len(r.GossipAddress) + len(r.Place.Region) +
		len(r.Place.AvailabilityZone) + len(r.Service) + len(r.State) + len(r.Health) + 2*9 + 10 + 3*4
	for _, k := range r.KeySlots {
		n += len(k.Slot) + 2 + 11 + 2
	}
	return n
}

// KeySlotToken returns the token under which the member owns a key slot.
func (r *Record) KeySlotToken(slot string) (token uint64, ok bool) {
	i := slices.IndexFunc(r.KeySlots, func(k KeySlot) bool { return k.Slot == slot })
	if i < 0 {
		return 0, false
	}
	return r.KeySlots[i].Token, true
}

// Datagram is one membership message.
type Datagram struct {
	Kind            Kind
	Sequence        uint64
	From            fleet.DaemonID
	FromIncarnation fleet.Incarnation
	// Subject is the member that a PingRequest, Nack or relayed Ack is about.
	Subject       fleet.DaemonID
	Updates       []Record
	ConfigVersion uint64
	ConfigDigest  string
	TableDigest   uint64
}

// Envelope is a datagram to send.
type Envelope struct {
	To       string
	Datagram Datagram
}

// Exchange asks the caller to reconcile with the daemon at PeerAddress: build a
// request with List.Request, send it, and pass the answer to List.Merge.
type Exchange struct {
	PeerAddress string
	// Services are those whose details are wanted.
	Services []fleet.Service
}

// Output is what the caller must do after a call.
type Output struct {
	Send     []Envelope
	Exchange []Exchange
}

// Change reports that a member of a subscribed service changed.
type Change struct {
	Member Record
	// Removed is set when the member is no longer in the list.
	Removed bool
}

func hashID(id fleet.DaemonID) uint64 {
	return xxhash.Sum64String(string(id))
}

// fingerprint is the contribution of a record to the table digest.
func fingerprint(idHash uint64, i fleet.Incarnation, r Revision) uint64 {
	h := idHash ^ uint64(i)*0x9e3779b97f4a7c15 ^ uint64(r)*0xc2b2ae3d27d4eb4f
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
