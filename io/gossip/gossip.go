// Package gossip carries membership datagrams between daemons over UDP.
//
// A Transport drives a member.List: it passes received datagrams to the list,
// sends the datagrams that the list returns, and runs the reconciliations that
// the list requests. Reconciliations use the peer protocol, so they go through
// the function set by WithExchange.
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
	// datagramBufferBytes exceeds member.MaxDatagram, so that oversized datagrams are
	// detected and dropped.
	datagramBufferBytes = 2048
	// exchangeQueue limits the queued reconciliations. The list requests dropped
	// ones again.
	exchangeQueue = 8
	// exchangeTimeout limits one reconciliation. A full table of 3,400 members takes
	// less than 1 s at 4 Mbit/s.
	exchangeTimeout = 5 * time.Second
	// socketBufferBytes is the receive buffer for a burst of 200 datagrams of the
	// maximum size.
	socketBufferBytes = 256 << 10
)

var (
	sentBytes          = metrics.GetOrCreateCounter(`pollenscale_gossip_bytes_total{direction="sent"}`)
	receivedBytes      = metrics.GetOrCreateCounter(`pollenscale_gossip_bytes_total{direction="received"}`)
	sentDatagrams      = metrics.GetOrCreateCounter(`pollenscale_gossip_datagrams_total{direction="sent"}`)
	receivedDatagrams  = metrics.GetOrCreateCounter(`pollenscale_gossip_datagrams_total{direction="received"}`)
	malformedDatagrams = metrics.GetOrCreateCounter(`pollenscale_gossip_malformed_total`)
	socketErrors       = metrics.GetOrCreateCounter(`pollenscale_gossip_send_errors_total`)
	exchangeErrors     = metrics.GetOrCreateCounter(`pollenscale_gossip_exchange_errors_total`)
)

// Transport sends and receives the datagrams of one list. Create it with Listen
// or New.
type Transport struct {
	list *member.List
	conn *net.UDPConn

	exchange func(context.Context, member.Exchange) error
	onConfig func(peerAddress string, version uint64, digest string)

	exchanges chan member.Exchange
}

// Option configures a Transport.
type Option func(*Transport)

// WithExchange sets the function that reconciles the list with another daemon,
// usually member.List.Reconcile with a call over the peer protocol.
func WithExchange(f func(context.Context, member.Exchange) error) Option {
	return func(t *Transport) { t.exchange = f }
}

// WithOnConfig sets the function that is called with the configuration version of
// the sender of each datagram, usually a method of spread.Spreader.
func WithOnConfig(f func(peerAddress string, version uint64, digest string)) Option {
	return func(t *Transport) { t.onConfig = f }
}

// Bind opens the UDP socket. It is separate from New so that the address is known
// before the list that announces it is created.
func Bind(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve gossip address %q", address)
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Wrap(err, "open gossip socket")
	}
	if err := conn.SetReadBuffer(socketBufferBytes); err != nil {
		logs.For(logs.Gossip).Warn("cannot set the receive buffer size of the socket.", "error", err)
	}
	return conn, nil
}

// Listen opens the UDP socket and returns a transport over it. Run serves it.
func Listen(address string, list *member.List, options ...Option) (*Transport, error) {
	conn, err := Bind(address)
	if err != nil {
		return nil, err
	}
	return New(conn, list, options...), nil
}

// New returns a transport over an open socket. Run serves it.
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

// Run serves the list until ctx ends, then closes the socket.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return t.conn.Close()
	})
	group.Go(func() error { return t.readLoop(ctx) })
	group.Go(func() error { return t.tickLoop(ctx) })
	group.Go(func() error { return t.exchangeLoop(ctx) })
	return group.Wait()
}

func (t *Transport) readLoop(ctx context.Context) error {
	buffer := make([]byte, datagramBufferBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "read from gossip socket")
		}
		if err != nil {
			// The error may stem from an earlier send, such as an ICMP error. The
			// socket stays usable.
			socketErrors.Inc()
			continue
		}
		receivedDatagrams.Inc()
		receivedBytes.Add(n)
		t.receive(from, buffer[:n])
	}
}

func (t *Transport) receive(from netip.AddrPort, data []byte) {
	if len(data) > member.MaxDatagram {
		malformedDatagrams.Inc()
		return
	}
	d, err := Decode(data)
	if err != nil {
		malformedDatagrams.Inc()
		return
	}
	source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	t.dispatch(t.list.Receive(source.String(), d))
	t.onConfig(t.list.PeerAddress(d.From), d.ConfigVersion, d.ConfigDigest)
}

// tickLoop calls the list's Tick when it is due, and at least once per gossip
// interval, since received updates start rounds of gossip.
func (t *Transport) tickLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		out, next := t.list.Tick()
		t.dispatch(out)
		timer.Reset(min(time.Until(next), member.GossipInterval))
	}
}

func (t *Transport) dispatch(out member.Output) {
	for _, e := range out.Send {
		t.send(e)
	}
	for _, x := range out.Exchange {
		select {
		case t.exchanges <- x:
		default:
			exchangeErrors.Inc()
		}
	}
}

func (t *Transport) send(e member.Envelope) {
	to, err := netip.ParseAddrPort(e.To)
	if err != nil {
		socketErrors.Inc()
		return
	}
	data, err := Encode(e.Datagram)
	if err != nil {
		socketErrors.Inc()
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		socketErrors.Inc()
		return
	}
	sentDatagrams.Inc()
	sentBytes.Add(len(data))
}

func (t *Transport) exchangeLoop(ctx context.Context) error {
	for {
		select {
		case x := <-t.exchanges:
			t.runExchange(ctx, x)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Transport) runExchange(ctx context.Context, x member.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := t.exchange(ctx, x); err != nil {
		exchangeErrors.Inc()
	}
}
