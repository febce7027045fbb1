// Package member implements membership and failure detection among the daemons
// of a fleet.
//
// Each daemon publishes one record, about itself, and increments the record's
// revision with each change. Changed records are piggybacked on probe datagrams
// and sent in rounds of gossip. A daemon probes its three successors on a ring
// of hashed IDs and one random member. A member that answers neither directly
// nor through helpers is suspected, and declared dead unless it refutes the
// suspicion in time.
//
// The package does no I/O. The caller passes received datagrams to Receive,
// calls Tick when a deadline has passed, and sends the datagrams that both
// return.
//
// Probing and refutation follow SWIM (Das, Gupta, Motivala 2002) with the
// negative acknowledgements and the self-check of Lifeguard (Dadgar, Phillips,
// Currey 2018). Probing the successors on a ring is taken from SmartBoa
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

// Health is a daemon's local view of a member.
type Health string

// Health values.
const (
	Alive   Health = "Alive"
	Suspect Health = "Suspect" // failed probes and may still refute the suspicion
	// Unreachable members were lost together with many others or as the last of
	// their service. They stay in the list and are still probed, because a
	// network partition looks the same as their failure.
	Unreachable Health = "Unreachable"
	Dead        Health = "Dead"
)

// Kind is the type of a datagram.
type Kind string

// Datagram types.
const (
	Ping        Kind = "Ping"
	Ack         Kind = "Ack"
	Nack        Kind = "Nack"        // the helper got no answer from the subject
	PingRequest Kind = "PingRequest" // asks the receiver to probe the subject
	Gossip      Kind = "Gossip"      // membership updates only
)

// Timing of failure detection. In the worst ordinary case all members know of a
// failure in less than 2 s: 600 ms until one of three monitors probes, 150 ms and
// 200 ms for the two timeouts, 500 ms of suspicion and about 300 ms until the
// update has reached every member.
const (
	// ProbeInterval is the time between two probes sent by one daemon. A round
	// has 4 probes, so that each ring neighbour is probed every 600 ms.
	ProbeInterval = 150 * time.Millisecond
	// PingTimeout is 9 round trips between regions (16 ms), so that queueing on
	// a busy VM rarely causes an indirect probe.
	PingTimeout = 150 * time.Millisecond
	// HelperTimeout is how long a helper waits for the subject before it sends a
	// Nack. It is shorter than IndirectTimeout by more than two round trips.
	HelperTimeout = 100 * time.Millisecond
	// IndirectTimeout is how long an indirect probe may take before the subject
	// is suspected.
	IndirectTimeout = 200 * time.Millisecond
	// SuspicionTimeout is the time a suspected member has to refute. The
	// suspicion has to reach the member and its refutation the whole fleet,
	// which took 350 ms in the slowest measured case.
	SuspicionTimeout = 500 * time.Millisecond
	// GossipInterval is the time between gossip rounds while updates are queued.
	// It exceeds one round trip between regions, so that rounds do not overlap.
	GossipInterval = 50 * time.Millisecond
	// PauseThreshold is the gap between two ticks beyond which this process
	// counts as paused. Answers may be waiting unread in its socket, so that
	// probes without an answer are no evidence of failure.
	PauseThreshold = 300 * time.Millisecond
	// ReconnectInterval is the mean time between attempts to probe a lost member.
	ReconnectInterval = 500 * time.Millisecond
	// SeedInterval is the mean time between probes of a seed address that belongs
	// to no live member. They reconnect the sides of a network partition that
	// outlasted DeadRetention.
	SeedInterval = 30 * time.Second
	// StaleSuspicion is the age at which this daemon probes a suspect itself if
	// the suspicion has been neither refuted nor confirmed.
	StaleSuspicion = 2 * time.Second
	// AnnounceInterval is the minimum time between announcements that the target
	// takes work again, so that a flapping target causes at most 2 announcements
	// per interval.
	AnnounceInterval = time.Second
	// LossWindow is the period within which losses count towards a bulk loss.
	LossWindow = 10 * time.Second
	// UnreachableRetention is how long an unreachable member stays in the list, or
	// longer if it is the last of its service. It covers network partitions
	// between regions, which last minutes.
	UnreachableRetention = 15 * time.Minute
	// DeadRetention is how long the record of a dead member is kept and the
	// member probed. The record keeps stale updates from reinstating the member,
	// and the probes detect the end of a network partition.
	DeadRetention = time.Hour
)

// Protocol parameters.
const (
	// Monitors is the number of ring neighbours that each daemon probes.
	Monitors = 3
	// Helpers is the number of members asked for an indirect probe.
	Helpers = 3
	// Fanout is the number of members that one gossip round sends to.
	Fanout = 4
	// MaxDatagram is the maximum size of a datagram in bytes, below the usual
	// path MTU of 1,500.
	MaxDatagram = 1200
	// Buckets is the number of hash buckets whose digests are compared in a
	// reconciliation.
	Buckets = 64
	// BulkLosses and BulkPercent (of the members) set the minimum number of
	// losses within LossWindow that counts as a bulk loss. Independent failures,
	// at 18 a day, reach 3 in 10 s less than once in a century.
	BulkLosses  = 3
	BulkPercent = 1
	// GossipRate (bytes per second) and GossipBurst (bytes) limit the datagrams
	// with updates that one daemon sends. Without the limit, a network partition
	// between regions cost 45 KB/s at 400 daemons. Received bytes match sent bytes
	// on average, so that both together stay below the budget of 27 KB/s for
	// control traffic.
	GossipRate  = 8 << 10
	GossipBurst = 256 << 10
	// VerifyRate limits the direct probes per second that verify whether reported
	// members are dead, of which there are many in a bulk loss. A failed one costs
	// about 450 bytes with its indirect probe; a zone of 284 is verified in 1.4 s.
	VerifyRate = 200
)

// KeySlot is a key slot owned by a member, with the token of its lease.
type KeySlot struct {
	Slot  string
	Token uint64
}

// Record describes one daemon and its target as the daemon published them, and
// its health as seen by others.
type Record struct {
	// Target has Slots set only in a detailed record.
	fleet.Target
	Revision Revision
	// DetailsRevision is the revision of the last change to anything but State.
	DetailsRevision Revision
	Health          Health
	// Detailed is set if Slots and KeySlots are known.
	Detailed bool
	KeySlots []KeySlot
}

// isStateUpdate reports whether r carries only ID, incarnation, revisions, state
// and health.
func (r *Record) isStateUpdate() bool {
	return r.GossipAddress == ""
}

// stateUpdate returns a copy of r without addresses and details.
func (r *Record) stateUpdate() Record {
	return Record{
		Target:          fleet.Target{Daemon: r.Daemon, Incarnation: r.Incarnation, State: r.State},
		Revision:        r.Revision,
		DetailsRevision: r.DetailsRevision,
		Health:          r.Health,
	}
}

// withoutDetails returns a copy of r without Slots and KeySlots.
func (r *Record) withoutDetails() Record {
	s := *r
	s.Slots, s.KeySlots, s.Detailed = 0, nil, false
	return s
}

// supersedes reports whether r replaces o, a record of the same daemon.
func (r *Record) supersedes(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Revision != o.Revision {
		return r.Revision > o.Revision
	}
	return healthPrecedence(r.Health) > healthPrecedence(o.Health)
}

// healthPrecedence orders records of the same revision, as in SWIM: suspicion
// overrides Alive and death overrides both.
func healthPrecedence(h Health) int {
	switch h {
	case Suspect:
		return 1
	case Dead, Unreachable:
		return 2
	case Alive:
	}
	return 0
}

// sizeBound returns an upper bound of the encoded size of r in bytes. Each field
// has at most 2 bytes of tag and length, and integers have at most 10 bytes.
func (r *Record) sizeBound() int {
	n := 8 + len(r.Daemon) + len(r.PeerAddress) + len(r.GossipAddress) + len(r.Place.Region) +
		len(r.Place.AvailabilityZone) + len(r.Service) + len(r.State) + len(r.Health) + 2*9 + 10 + 3*4
	for _, k := range r.KeySlots {
		n += len(k.Slot) + 2 + 11 + 2
	}
	return n
}

// KeySlotToken returns the lease token of a key slot that the member owns.
func (r *Record) KeySlotToken(slot string) (token uint64, ok bool) {
	i := slices.IndexFunc(r.KeySlots, func(k KeySlot) bool { return k.Slot == slot })
	if i < 0 {
		return 0, false
	}
	return r.KeySlots[i].Token, true
}

// Datagram is a membership protocol message.
type Datagram struct {
	Kind            Kind
	Sequence        uint64
	From            fleet.DaemonID
	FromIncarnation fleet.Incarnation
	// Subject is the member to which a PingRequest, Nack or relayed Ack refers.
	Subject       fleet.DaemonID
	Updates       []Record
	ConfigVersion uint64
	ConfigDigest  string
	TableDigest   uint64
}

// Envelope is a datagram to send to a gossip address.
type Envelope struct {
	To       string
	Datagram Datagram
}

// Exchange asks the caller to reconcile with the daemon at PeerAddress: build a
// request with List.Request, send it, and pass the reply to List.Merge.
type Exchange struct {
	PeerAddress string
	// Services are those whose details are requested.
	Services []fleet.Service
}

// Output lists what the caller must send after a call.
type Output struct {
	Send     []Envelope
	Exchange []Exchange
}

// Change reports that a member of a subscribed service changed.
type Change struct {
	Member Record
	// Removed is set if the member is no longer in the list.
	Removed bool
}

func hashID(id fleet.DaemonID) uint64 {
	return xxhash.Sum64String(string(id))
}

// fingerprint hashes one revision of a record. The digest of a table is the XOR
// of its fingerprints.
func fingerprint(idHash uint64, i fleet.Incarnation, r Revision) uint64 {
	h := idHash ^ uint64(i)*0x9e3779b97f4a7c15 ^ uint64(r)*0xc2b2ae3d27d4eb4f
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}
