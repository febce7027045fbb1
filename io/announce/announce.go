// Package announce exchanges UDP datagrams between daemons. A datagram carries
// the record of its sender and the version of the sender's configuration. A
// datagram that requires an acknowledgement is resent a few times until the
// acknowledgement arrives.
package announce

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenscale/core/evacuation"
	"pollenscale/core/fleet"
	"pollenscale/core/freshness"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// maxDatagramBytes is the size of the receive buffer; records take about 400
	// bytes.
	maxDatagramBytes = 1400
	// resendInterval exceeds the round-trip time to the farthest region.
	resendInterval = 120 * time.Millisecond
	// maxSends limits the transmissions of an unacknowledged datagram, the first
	// one included.
	maxSends = 4
)

// Purpose is the type of a datagram.
type Purpose string

// Datagram types.
const (
	// Heartbeat shows that the sender is alive.
	Heartbeat Purpose = ""
	// Update carries a changed record and requires an acknowledgement.
	Update Purpose = "News"
	// Relay carries a changed record, requires an acknowledgement and asks the
	// receiver to forward the record to the daemons of its region.
	Relay Purpose = "Relay"
	// Relayed carries the record of another daemon that the sender forwards. It
	// requires an acknowledgement.
	Relayed Purpose = "Relayed"
	// Probe requires an acknowledgement, to check that the receiver is alive. It
	// carries no record.
	Probe Purpose = "Probe"
	// Ack acknowledges a datagram. It carries no record.
	Ack Purpose = "Ack"
	// Config announces the configuration version in force at the sender and the evacuated zones.
	// It carries no record.
	Config Purpose = "Config"
	// Question asks for the receiver's proof that its configuration is the newest. It
	// carries no record.
	Question Purpose = "Question"
	// Answer is the response to a Question. It carries no record.
	Answer Purpose = "Answer"
)

// Message is the JSON content of a datagram.
type Message struct {
	Purpose Purpose `json:",omitempty"`
	// From is the record of the sender or, in a Relayed datagram, of the daemon
	// whose record is forwarded.
	From roster.Record `json:",omitzero"`
	// Version is the version of the configuration in force at the sender.
	Version route.Version `json:",omitempty"`
	// Era is the latest era of the store that the sender has learned of.
	Era store.Era `json:",omitempty"`
	// About is the daemon whose record is acknowledged. By is the sender of a
	// datagram without a record.
	About fleet.DaemonID `json:",omitempty"`
	By    fleet.DaemonID `json:",omitempty"`
	// PeerAddress is the address from which the configuration can be fetched.
	PeerAddress string `json:",omitempty"`
	// Watching is set while the sender watches the store for changes.
	Watching bool `json:",omitempty"`
	// Evacuation is the set of evacuated zones that the sender knows, absent if it knows none.
	Evacuation evacuation.Set `json:",omitzero"`
	// Nonce identifies a Question and its Answer.
	Nonce freshness.Nonce `json:",omitempty"`
	// AgeMs is the age of the proof in an Answer, nil if the sender has none.
	AgeMs *int64 `json:",omitempty"`
}

// wantsAck reports whether a datagram with a record requires an acknowledgement.
func (p Purpose) wantsAck() bool { return p == Update || p == Relay || p == Relayed }

// hasRecord reports whether a datagram carries a record.
func (p Purpose) hasRecord() bool {
	return p != Ack && p != Probe && p != Config && p != Question && p != Answer
}

// Node sends and receives datagrams on one socket. Create it with Listen.
type Node struct {
	// LocalMessage returns the message that describes this daemon.
	LocalMessage func() Message
	// OnRecord is called for each datagram with a record.
	OnRecord func(Message)
	// OnAlive is called with the sender of a datagram without a record, which shows
	// that the sender is reachable.
	OnAlive func(fleet.DaemonID)
	// OnConfigVersion is called when a daemon announces its configuration version.
	OnConfigVersion func(version route.Version, peerAddress string)
	// OnEvacuation is called with the set of evacuated zones in a datagram.
	OnEvacuation func(evacuation.Set)
	// ProofAge returns the version of the configuration in force, and the age of the
	// latest proof that it is the newest. It returns false if there is none.
	ProofAge func() (route.Version, time.Duration, bool)
	// OnAnswer is called with each answer to a question.
	OnAnswer func(Message)
	// OnRelayFailure is called with the address of a relay that did not acknowledge.
	OnRelayFailure func(relay string)
	// OnError is called with socket errors and for malformed datagrams.
	OnError func(error)

	conn *net.UDPConn

	mu      sync.Mutex
	unacked map[ackKey]unackedDatagram
}

// ackKey identifies an expected acknowledgement by the address of its sender and
// the daemon whose record is acknowledged.
type ackKey struct {
	address string
	about   fleet.DaemonID
}

// unackedDatagram is a datagram whose acknowledgement is outstanding.
type unackedDatagram struct {
	purpose     Purpose
	record      roster.Record // set for Relayed
	noFailover  bool          // OnRelayFailure is not called for it
	resendsLeft int
	resendAt    time.Time
}

// Listen opens the UDP socket. The caller runs Receive and Resend.
func Listen(address string) (*Node, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve announce address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "open announce socket")
	}
	return &Node{
		conn: conn, unacked: make(map[ackKey]unackedDatagram), OnError: func(error) {},
		OnAlive: func(fleet.DaemonID) {}, OnRelayFailure: func(string) {},
		OnConfigVersion: func(route.Version, string) {}, OnEvacuation: func(evacuation.Set) {}, OnAnswer: func(Message) {},
		ProofAge: func() (route.Version, time.Duration, bool) { return 0, 0, false },
	}, nil
}

// Address returns the address of the socket.
func (n *Node) Address() string { return n.conn.LocalAddr().String() }

// SendHeartbeat sends this daemon's message once and expects no acknowledgement.
func (n *Node) SendHeartbeat(address string) { n.send(address, n.localMessage(Heartbeat)) }

// Probe sends one probe to the daemon at address.
func (n *Node) Probe(address string) {
	n.send(address, Message{Purpose: Probe, By: n.LocalMessage().From.Daemon})
}

// SendConfigVersion sends the configuration version in force and the evacuated zones once to the
// daemon at address.
func (n *Node) SendConfigVersion(address string) {
	local := n.LocalMessage()
	n.send(address, Message{
		Purpose: Config, By: local.From.Daemon, Version: local.Version, PeerAddress: local.From.PeerAddress, Evacuation: local.Evacuation,
	})
}

// Ask sends a question with the nonce once to the daemon at address.
func (n *Node) Ask(address string, nonce freshness.Nonce) {
	n.send(address, Message{Purpose: Question, By: n.LocalMessage().From.Daemon, Nonce: nonce})
}

// answer responds to a question. The age is rounded up, so that the proof is not dated to
// a later instant than its own.
func (n *Node) answer(question Message, from netip.AddrPort) {
	local := n.LocalMessage()
	m := Message{Purpose: Answer, By: local.From.Daemon, PeerAddress: local.From.PeerAddress, Nonce: question.Nonce}
	version, age, ok := n.ProofAge()
	m.Version = version
	if ok {
		ms := int64((age + time.Millisecond - 1) / time.Millisecond)
		m.AgeMs = &ms
	}
	n.send(from.String(), m)
}

// Announce sends this daemon's message to the addresses. It is resent to each
// until acknowledged, at most maxSends times.
func (n *Node) Announce(p Purpose, addresses []string) {
	about := n.LocalMessage().From.Daemon
	for _, a := range addresses {
		n.sendReliably(ackKey{address: a, about: about}, unackedDatagram{purpose: p})
	}
}

// ReplaceRelay sends this daemon's message to a relay that replaces one that did
// not acknowledge. If the replacement fails too, OnRelayFailure is not called,
// which bounds the search for a relay.
func (n *Node) ReplaceRelay(relay string) {
	n.sendReliably(ackKey{address: relay, about: n.LocalMessage().From.Daemon}, unackedDatagram{purpose: Relay, noFailover: true})
}

// Forward sends the record of another daemon to the addresses, with resends as in
// Announce.
func (n *Node) Forward(record roster.Record, addresses []string) {
	for _, a := range addresses {
		n.sendReliably(ackKey{address: a, about: record.Daemon}, unackedDatagram{purpose: Relayed, record: record})
	}
}

func (n *Node) sendReliably(to ackKey, p unackedDatagram) {
	p.resendsLeft, p.resendAt = maxSends-1, time.Now().Add(resendInterval)
	n.mu.Lock()
	n.unacked[to] = p
	n.mu.Unlock()
	n.send(to.address, n.message(p))
}

// Resend resends unacknowledged datagrams until ctx ends.
func (n *Node) Resend(ctx context.Context) error {
	return wait.Every(ctx, resendInterval, n.resend)
}

func (n *Node) resend() {
	now := time.Now()
	due := map[ackKey]unackedDatagram{}
	var failedRelays []string
	n.mu.Lock()
	for to, p := range n.unacked {
		if p.resendAt.After(now) {
			continue
		}
		if p.resendsLeft--; p.resendsLeft < 0 {
			delete(n.unacked, to)
			if p.purpose == Relay && !p.noFailover {
				failedRelays = append(failedRelays, to.address)
			}
			continue
		}
		p.resendAt = now.Add(resendInterval)
		n.unacked[to] = p
		due[to] = p
	}
	n.mu.Unlock()
	for to, p := range due {
		n.send(to.address, n.message(p))
	}
	for _, relay := range failedRelays {
		n.OnRelayFailure(relay)
	}
}

// message returns the current content of a datagram: this daemon's record may
// have changed since the first transmission.
func (n *Node) message(p unackedDatagram) Message {
	if p.purpose == Relayed {
		return Message{Purpose: Relayed, From: p.record}
	}
	return n.localMessage(p.purpose)
}

func (n *Node) localMessage(p Purpose) Message {
	m := n.LocalMessage()
	m.Purpose = p
	return m
}

func (n *Node) send(address string, m Message) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		n.OnError(errors.Wrapf(err, "parse announce address %q", address))
		return
	}
	data, err := json.Marshal(m)
	if err != nil {
		n.OnError(err)
		return
	}
	if _, err = n.conn.WriteToUDPAddrPort(data, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		n.OnError(errors.Wrapf(err, "send to %s", address))
	}
}

// Receive reads datagrams until the socket is closed.
func (n *Node) Receive() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.OnError(err)
			continue
		}
		var m Message
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.Purpose.hasRecord() && m.From.Daemon == "" {
			n.OnError(errors.Newf("malformed datagram of %d bytes from %s", size, from))
			continue
		}
		n.handle(m, from)
	}
}

func (n *Node) handle(m Message, from netip.AddrPort) {
	if m.Purpose.wantsAck() || m.Purpose == Probe {
		n.send(from.String(), Message{Purpose: Ack, About: m.From.Daemon, By: n.LocalMessage().From.Daemon})
	}
	if m.Evacuation.Known() {
		n.OnEvacuation(m.Evacuation)
	}
	if m.Purpose.hasRecord() {
		n.OnRecord(m)
		return
	}
	if m.Purpose == Ack {
		n.mu.Lock()
		delete(n.unacked, ackKey{address: from.String(), about: m.About})
		n.mu.Unlock()
	}
	switch m.Purpose { //nolint:exhaustive // the others need nothing more
	case Config:
		n.OnConfigVersion(m.Version, m.PeerAddress)
	case Question:
		n.answer(m, from)
	case Answer:
		n.OnAnswer(m)
	}
	if m.By != "" {
		n.OnAlive(m.By)
	}
}

// Close closes the socket.
func (n *Node) Close() error { return n.conn.Close() }
