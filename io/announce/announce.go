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

// Message is a datagram.
type Message struct {
	From    roster.Record
	Version route.Version
	// Ask is set when the sender wants an acknowledgement.
	Ask bool `json:",omitempty"`
}

// Node sends and receives datagrams on one socket. Use Listen.
type Node struct {
	// Own returns the message that describes this daemon.
	Own func() Message
	// Received is called for each valid datagram.
	Received func(Message)
	// OnError receives errors of the socket and datagrams that cannot be read.
	OnError func(error)

	conn *net.UDPConn

	mu      sync.Mutex
	pending map[string]pending // by address of the receiver
}

// pending is an announcement without acknowledgement.
type pending struct {
	left   int
	nextAt time.Time
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
	return &Node{conn: conn, pending: make(map[string]pending), OnError: func(error) {}}, nil
}

// Send sends this daemon's message once, without acknowledgement.
func (n *Node) Send(address string) { n.send(address, false) }

// Announce sends this daemon's message to the addresses until each has
// acknowledged it or a few datagrams were sent.
func (n *Node) Announce(addresses []string) {
	now := time.Now()
	n.mu.Lock()
	for _, a := range addresses {
		n.pending[a] = pending{left: sends - 1, nextAt: now.Add(resendAfter)}
	}
	n.mu.Unlock()
	for _, a := range addresses {
		n.send(a, true)
	}
}

// Resend repeats announcements that were not acknowledged, until ctx ends.
func (n *Node) Resend(ctx context.Context) error {
	return wait.Every(ctx, resendAfter, n.resend)
}

func (n *Node) resend() {
	now := time.Now()
	var due []string
	n.mu.Lock()
	for a, p := range n.pending {
		if p.nextAt.After(now) {
			continue
		}
		if p.left--; p.left < 0 {
			delete(n.pending, a)
			continue
		}
		p.nextAt = now.Add(resendAfter)
		n.pending[a] = p
		due = append(due, a)
	}
	n.mu.Unlock()
	for _, a := range due {
		n.send(a, true)
	}
}

func (n *Node) send(address string, ask bool) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		n.OnError(errors.Wrapf(err, "announce address %q", address))
		return
	}
	m := n.Own()
	m.Ask = ask
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
		if err := json.Unmarshal(buffer[:size], &m); err != nil || m.From.Daemon == "" {
			n.OnError(errors.Newf("datagram of %d bytes from %s cannot be read", size, from))
			continue
		}
		n.acknowledge(m, from)
		n.Received(m)
	}
}

// acknowledge ends the announcement to the sender and answers its own.
func (n *Node) acknowledge(m Message, from netip.AddrPort) {
	if m.Ask {
		n.send(from.String(), false)
		return
	}
	n.mu.Lock()
	delete(n.pending, from.String())
	n.mu.Unlock()
}

// Close closes the socket.
func (n *Node) Close() error { return n.conn.Close() }
