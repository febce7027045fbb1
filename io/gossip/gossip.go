// Package gossip carries membership datagrams between daemons over UDP.
//
// A Transport drives a member.List: it passes in received datagrams, sends those
// that the list returns, and carries out the reconciliations that the list asks
// for through a function field, since these use the peer protocol.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"pollenscale/core/member"
	"pollenscale/internal/logs"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// maxRead exceeds member.MaxDatagram, so that a longer datagram is noticed
	// and dropped.
	maxRead = 2048
	// exchangeQueue bounds the reconciliations that wait. The list asks again.
	exchangeQueue = 8
	// exchangeTimeout bounds one reconciliation; a whole table of 3,400 members
	// takes less than 1 s at 4 Mbit/s.
	exchangeTimeout = 5 * time.Second
	// readBuffer holds the datagrams of a burst: 200 of the largest.
	readBuffer = 256 << 10
)

var (
	sentBytes     = metrics.GetOrCreateCounter(`pollenscale_gossip_bytes_total{direction="sent"}`)
	receivedBytes = metrics.GetOrCreateCounter(`pollenscale_gossip_bytes_total{direction="received"}`)
	sent          = metrics.GetOrCreateCounter(`pollenscale_gossip_datagrams_total{direction="sent"}`)
	received      = metrics.GetOrCreateCounter(`pollenscale_gossip_datagrams_total{direction="received"}`)
	malformed     = metrics.GetOrCreateCounter(`pollenscale_gossip_malformed_total`)
	unsent        = metrics.GetOrCreateCounter(`pollenscale_gossip_send_errors_total`)
	exchangeFails = metrics.GetOrCreateCounter(`pollenscale_gossip_exchange_errors_total`)
)

// Transport moves the datagrams of one list. Use Listen.
type Transport struct {
	list *member.List
	conn *net.UDPConn

	exchange func(context.Context, member.Exchange) error
	onConfig func(peerAddress string, version uint64, digest string)

	exchanges chan member.Exchange
}

// Option changes a transport under construction.
type Option func(*Transport)

// WithExchange sets the function that reconciles with another daemon, usually
// member.List.Reconcile with a call over the peer protocol.
func WithExchange(f func(context.Context, member.Exchange) error) Option {
	return func(t *Transport) { t.exchange = f }
}

// WithOnConfig sets the function that is told the configuration version of each
// sender, usually spread.Spreader.Heard.
func WithOnConfig(f func(peerAddress string, version uint64, digest string)) Option {
	return func(t *Transport) { t.onConfig = f }
}

// Bind opens the UDP socket, so that its address is known before the list is
// built that announces it.
func Bind(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", address)
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Wrap(err, "gossip socket")
	}
	if err := conn.SetReadBuffer(readBuffer); err != nil {
		logs.For(logs.Gossip).Warn("cannot enlarge the read buffer.", "error", err)
	}
	return conn, nil
}

// Listen opens the UDP socket. Run must be called to serve it.
func Listen(address string, list *member.List, options ...Option) (*Transport, error) {
	conn, err := Bind(address)
	if err != nil {
		return nil, err
	}
	return New(conn, list, options...), nil
}

// New returns a transport over an open socket. Run must be called to serve it.
func New(conn *net.UDPConn, list *member.List, options ...Option) *Transport {
	t := &Transport{
		list:      list,
		conn:      conn,
		exchange:  func(context.Context, member.Exchange) error { return nil },
		onConfig:  func(string, uint64, string) {},
		exchanges: make(chan member.Exchange, exchangeQueue),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Address returns the address of the socket.
func (t *Transport) Address() string {
	return t.conn.LocalAddr().String()
}

// Run serves the list until the context ends, then closes the socket.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return t.conn.Close()
	})
	group.Go(func() error { return t.readAll(ctx) })
	group.Go(func() error { return t.tick(ctx) })
	group.Go(func() error { return t.exchangeAll(ctx) })
	return group.Wait()
}

func (t *Transport) readAll(ctx context.Context) error {
	buffer := make([]byte, maxRead)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "gossip socket")
		}
		if err != nil {
			// The socket stays usable, for example after an ICMP error.
			unsent.Inc()
			continue
		}
		received.Inc()
		receivedBytes.Add(n)
		t.receive(from, buffer[:n])
	}
}

func (t *Transport) receive(from netip.AddrPort, data []byte) {
	if len(data) > member.MaxDatagram {
		malformed.Inc()
		return
	}
	d, err := Decode(data)
	if err != nil {
		malformed.Inc()
		return
	}
	source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	t.carryOut(t.list.Receive(source.String(), d))
	t.onConfig(t.list.PeerAddress(d.From), d.ConfigVersion, d.ConfigDigest)
}

// tick calls the list when something is due, and at least once per gossip
// interval, since received news starts rounds of gossip.
func (t *Transport) tick(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		out, next := t.list.Tick()
		t.carryOut(out)
		timer.Reset(min(time.Until(next), member.GossipInterval))
	}
}

func (t *Transport) carryOut(out member.Output) {
	for _, e := range out.Send {
		t.send(e)
	}
	for _, x := range out.Exchange {
		select {
		case t.exchanges <- x:
		default:
			exchangeFails.Inc()
		}
	}
}

func (t *Transport) send(e member.Envelope) {
	to, err := netip.ParseAddrPort(e.To)
	if err != nil {
		unsent.Inc()
		return
	}
	data, err := Encode(e.Datagram)
	if err != nil {
		unsent.Inc()
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		unsent.Inc()
		return
	}
	sent.Inc()
	sentBytes.Add(len(data))
}

func (t *Transport) exchangeAll(ctx context.Context) error {
	for {
		select {
		case x := <-t.exchanges:
			t.exchangeOne(ctx, x)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Transport) exchangeOne(ctx context.Context, x member.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := t.exchange(ctx, x); err != nil {
		exchangeFails.Inc()
	}
}
