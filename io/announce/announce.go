// Package announce exchanges datagrams between daemons: the record of the
// sender and the version of its configuration. A datagram that asks for an
// acknowledgement is sent again a few times until it comes.
package announce

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
)

const (
	// maxBytes is the largest datagram; records are about 400 bytes.
	maxBytes = 1400
	// resendAfter is above the way to the farthest region and back.
	resendAfter = 120 * time.Millisecond
	// sends is how often a datagram is sent that is not acknowledged.
	sends = 4
)

// Purpose is what a datagram is for.
type Purpose string

// The purposes.
const (
	// Heartbeat says that the sender is alive.
	Heartbeat Purpose = ""
	// Update asks for an acknowledgement of a changed record.
	Update Purpose = "News"
	// Relay asks for an acknowledgement, and to pass the record on to the daemons
	// of the receiver's region.
	Relay Purpose = "Relay"
	// Relayed is a record that another daemon passes on.
	Relayed Purpose = "Relayed"
	// Probe asks for an acknowledgement as a sign of life. It carries no record.
	Probe Purpose = "Probe"
	// Ack acknowledges. It carries no record.
	Ack Purpose = "Ack"
	// Config says that a configuration has come into force. It carries no record.
	Config Purpose = "Config"
)

// Message is a datagram.
type Message struct {
	Purpose Purpose `json:",omitempty"`
	// From is the record of the sender, or of the daemon whose record is relayed.
	From roster.Record `json:",omitzero"`
	// Version is the configuration in force at the sender.
	Version route.Version `json:",omitempty"`
	// About names the daemon whose record is acknowledged, By the sender of a
	// datagram without a record.
	About fleet.DaemonID `json:",omitempty"`
	By    fleet.DaemonID `json:",omitempty"`
	// PeerAddress is where the configuration can be read.
	PeerAddress string `json:",omitempty"`
	// Watching is set while the sender waits for changes at the store.
	Watching bool `json:",omitempty"`
}

// asks reports whether the sender of a record wants an acknowledgement.
func (p Purpose) asks() bool { return p == Update || p == Relay || p == Relayed }

// carries reports whether a datagram carries a record.
func (p Purpose) carries() bool { return p != Ack && p != Probe && p != Config }

// Node sends and receives datagrams on one socket. Use Listen.
type Node struct {
	// LocalMessage returns the message that describes this daemon.
	LocalMessage func() Message
	// OnRecord is called for each datagram with a record.
	OnRecord func(Message)
	// OnAlive is called when a datagram without a record shows that a daemon can be
	// reached.
	OnAlive func(fleet.DaemonID)
	// OnConfigVersion is called when a daemon has a new configuration.
	OnConfigVersion func(version route.Version, peerAddress string)
	// OnRelayFailure is called with the address of a relay that did not acknowledge.
	OnRelayFailure func(relay string)
	// OnError receives errors of the socket and datagrams that cannot be read.
	OnError func(error)

	conn *net.UDPConn

	mu      sync.Mutex
	pending map[receipt]pending
}

// receipt identifies an acknowledgement: who gives it, and whose record it is for.
type receipt struct {
	address string
	about   fleet.DaemonID
}

// pending is a datagram without acknowledgement.
type pending struct {
	purpose Purpose
	record  roster.Record // of another daemon, for Relayed
	last    bool          // its loss is not reported
	left    int
	nextAt  time.Time
}

// Listen binds the socket.
func Listen(address string) (*Node, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "announce address")
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, errors.Wrap(err, "announce socket")
	}
	return &Node{
		conn: conn, pending: make(map[receipt]pending), OnError: func(error) {},
		OnAlive: func(fleet.DaemonID) {}, OnRelayFailure: func(string) {},
		OnConfigVersion: func(route.Version, string) {},
	}, nil
}

// Address returns the address of the socket.
func (n *Node) Address() string { return n.conn.LocalAddr().String() }

// SendHeartbeat sends this daemon's message once, without acknowledgement.
func (n *Node) SendHeartbeat(address string) { n.write(address, n.own(Heartbeat)) }

// Probe asks the daemon at an address once for a sign of life.
func (n *Node) Probe(address string) {
	n.write(address, Message{Purpose: Probe, By: n.LocalMessage().From.Daemon})
}

// SendConfigVersion tells the daemon at an address once which configuration is in force.
func (n *Node) SendConfigVersion(address string) {
	own := n.LocalMessage()
	n.write(address, Message{Purpose: Config, By: own.From.Daemon, Version: own.Version, PeerAddress: own.From.PeerAddress})
}

// Announce sends this daemon's message to the addresses until each has
// acknowledged it or a few datagrams were sent.
func (n *Node) Announce(p Purpose, addresses []string) {
	about := n.LocalMessage().From.Daemon
	for _, a := range addresses {
		n.begin(receipt{address: a, about: about}, pending{purpose: p})
	}
}

// ReplaceRelay sends this daemon's message to a relay in the place of one that was
// lost. The loss of a substitute is not reported.
func (n *Node) ReplaceRelay(relay string) {
	n.begin(receipt{address: relay, about: n.LocalMessage().From.Daemon}, pending{purpose: Relay, last: true})
}

// Forward sends the record of another daemon to the addresses like Announce.
func (n *Node) Forward(record roster.Record, addresses []string) {
	for _, a := range addresses {
		n.begin(receipt{address: a, about: record.Daemon}, pending{purpose: Relayed, record: record})
	}
}

func (n *Node) begin(to receipt, p pending) {
	p.left, p.nextAt = sends-1, time.Now().Add(resendAfter)
	n.mu.Lock()
	n.pending[to] = p
	n.mu.Unlock()
	n.write(to.address, n.message(p))
}

// Resend repeats datagrams that were not acknowledged, until ctx ends.
func (n *Node) Resend(ctx context.Context) error {
	return wait.Every(ctx, resendAfter, n.resend)
}

func (n *Node) resend() {
	now := time.Now()
	due := map[receipt]pending{}
	var lost []string
	n.mu.Lock()
	for to, p := range n.pending {
		if p.nextAt.After(now) {
			continue
		}
		if p.left--; p.left < 0 {
			delete(n.pending, to)
			if p.purpose == Relay && !p.last {
				lost = append(lost, to.address)
			}
			continue
		}
		p.nextAt = now.Add(resendAfter)
		n.pending[to] = p
		due[to] = p
	}
	n.mu.Unlock()
	for to, p := range due {
		n.write(to.address, n.message(p))
	}
	for _, relay := range lost {
		n.OnRelayFailure(relay)
	}
}

// message returns the datagram of the moment: the own record may have changed
// since it was first sent.
func (n *Node) message(p pending) Message {
	if p.purpose == Relayed {
		return Message{Purpose: Relayed, From: p.record}
	}
	return n.own(p.purpose)
}

func (n *Node) own(p Purpose) Message {
	m := n.LocalMessage()
	m.Purpose = p
	return m
}

func (n *Node) write(address string, m Message) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		n.OnError(errors.Wrapf(err, "announce address %q", address))
		return
	}
	data, err := json.Marshal(m)
	if err != nil {
		n.OnError(err)
		return
	}
	if _, err = n.conn.WriteToUDPAddrPort(data, at); err != nil && !errors.Is(err, net.ErrClosed) {
		n.OnError(errors.Wrapf(err, "send to %s", address))
	}
}

// Receive reads datagrams until the socket is closed.
func (n *Node) Receive() error {
	buffer := make([]byte, maxBytes)
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
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.Purpose.carries() && m.From.Daemon == "" {
			n.OnError(errors.Newf("datagram of %d bytes from %s cannot be read", size, from))
			continue
		}
		n.handle(m, from)
	}
}

func (n *Node) handle(m Message, from netip.AddrPort) {
	if m.Purpose.asks() || m.Purpose == Probe {
		n.write(from.String(), Message{Purpose: Ack, About: m.From.Daemon, By: n.LocalMessage().From.Daemon})
	}
	if m.Purpose.carries() {
		n.OnRecord(m)
		return
	}
	if m.Purpose == Ack {
		n.mu.Lock()
		delete(n.pending, receipt{address: from.String(), about: m.About})
		n.mu.Unlock()
	}
	if m.Purpose == Config {
		n.OnConfigVersion(m.Version, m.PeerAddress)
	}
	if m.By != "" {
		n.OnAlive(m.By)
	}
}

// Close closes the socket.
func (n *Node) Close() error { return n.conn.Close() }
