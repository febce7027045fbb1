package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. Within a site it takes
	// 20 ms; a lost opening packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// maxKept bounds the idle connections to one address.
	maxKept = 32
	// maxIdle is how long an idle connection is kept when the peer says nothing.
	maxIdle = 8 * time.Second
	// freshIdle is the longest idle time of a connection for a request that
	// cannot be repeated: some peers forget connections that rested for 300 ms.
	freshIdle = 200 * time.Millisecond
	// restPart is the part of the idle time of a forgotten connection for which
	// others are kept, and restFor how long that holds.
	restPart = 0.75
	restFor  = 30 * time.Second
	// idleMargin is kept before the time at which the peer closes.
	idleMargin = time.Second
	// unackedTimeout bounds how long sent bytes may stay without an acknowledgement.
	unackedTimeout = 1500 * time.Millisecond
)

// Pool keeps the connections to one address.
type Pool struct {
	// OnError receives errors that change nothing else.
	OnError func(error)
	// OnDial is called for each connection that is opened.
	OnDial func()

	address string

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// rest bounds the idle time of connections until restUntil, since the peer
	// forgot one that had been idle for longer.
	rest      time.Duration
	restUntil time.Time
}

// New returns a pool for an address.
func New(address string) *Pool {
	return &Pool{address: address, OnError: func(error) {}, OnDial: func() {}}
}

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }

// Do sends a request. An error marked ErrNotSent means that nothing of it left
// this process; after any other error it may have reached the peer.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r.AvoidIdle)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Deadline); err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	return c.exchange(ctx, r)
}

// Connect opens a connection and keeps it for later requests. An error says that
// the peer accepts none.
func (p *Pool) Connect(ctx context.Context, deadline time.Time) error {
	c, err := p.dial(ctx, deadline)
	if err != nil {
		return err
	}
	p.put(c, 0)
	return nil
}

func (p *Pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	limit := time.Now().Add(dialTimeout)
	if !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	d := net.Dialer{Deadline: limit, KeepAliveConfig: net.KeepAliveConfig{Enable: false}, Control: setOptions}
	p.OnDial()
	nc, err := d.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: nc, pool: p,
		reader: bufio.NewReaderSize(nc, bufferBytes), writer: bufio.NewWriterSize(nc, bufferBytes),
	}, nil
}

// setOptions bounds how long a connection may stay silent while bytes are under way.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// take returns the connection that was used last, or nil if there is none that
// is fit for use. Those below it have been idle for longer.
func (p *Pool) take(fresh bool) *conn {
	now := time.Now()
	for {
		c := p.pop(fresh, now)
		if c == nil {
			return nil
		}
		if c.idleUntil.After(now) && c.quiet() {
			return c
		}
		c.discard()
	}
}

// pop removes the connection that was used last, unless it has been idle for too
// long for a fresh one.
func (p *Pool) pop(fresh bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || fresh && now.Sub(p.idle[n-1].idleSince) > freshIdle {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	if p.restUntil.After(now) && now.Sub(c.idleSince) > p.rest {
		c.idleUntil = now
	}
	return c
}

// forgot records that the peer had forgotten a connection that was idle for the
// given time.
func (p *Pool) forgot(idle time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := time.Duration(restPart * float64(idle))
	if p.restUntil.Before(now) || rest < p.rest {
		p.rest = rest
	}
	p.restUntil = now.Add(restFor)
}

func (p *Pool) put(c *conn, idle time.Duration) {
	if c.spoiled || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	now := time.Now()
	if idle == 0 || idle > maxIdle {
		idle = maxIdle
	}
	c.idleUntil = now.Add(idle - min(idleMargin, idle/4))
	c.idleSince = now
	p.mu.Lock()
	full := p.closed || len(p.idle) >= maxKept
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if full {
		c.discard()
	}
}

// CloseExpired closes connections whose idle time is over.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	var over []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleUntil.After(now) {
			kept = append(kept, c)
		} else {
			over = append(over, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range over {
		c.discard()
	}
}

// CloseIdle closes the idle connections, as when one of them was found silent.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// Close closes the idle connections and keeps no others.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
