package http1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout limits connecting, which takes 20 ms within a site. A lost SYN is
	// retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// maxIdleConns limits the idle connections to one address.
	maxIdleConns = 32
	// maxIdleTime limits the idle time of a connection, and is the default if the
	// peer sends no Keep-Alive timeout.
	maxIdleTime = 8 * time.Second
	// maxShortIdle is the longest idle time of a connection for a request that
	// cannot be retried. Some peers drop connections that were idle for 300 ms.
	maxShortIdle = 200 * time.Millisecond
	// idleLimitFactor times the idle time of a connection that the peer has dropped
	// limits the idle time of the others, for idleLimitTTL.
	idleLimitFactor = 0.75
	idleLimitTTL    = 30 * time.Second
	// idleMargin is how long before the peer's idle timeout a connection expires.
	idleMargin = time.Second
)

// Pool keeps the idle connections to one address.
type Pool struct {
	// OnError receives errors that have no other effect.
	OnError func(error)
	// OnDial is called before each connection attempt.
	OnDial func()

	address string

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// idleLimit limits the idle time of connections until idleLimitUntil, because
	// the peer has dropped one that was idle for longer.
	idleLimit      time.Duration
	idleLimitUntil time.Time
}

// New returns a pool of connections to address.
func New(address string) *Pool {
	return &Pool{address: address, OnError: func(error) {}, OnDial: func() {}}
}

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }

// Do sends a request. An error marked ErrNotSent means that no byte of it was
// sent; after any other error the request may have reached the peer.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.get(r)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Deadline); err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	return c.exchange(ctx, r)
}

// Connect opens a connection and adds it to the pool. An error means that the
// peer does not accept connections.
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
	d := net.Dialer{Deadline: limit, KeepAliveConfig: net.KeepAliveConfig{Enable: false}, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, userTimeout)
	}}
	p.OnDial()
	nc, err := d.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{source: nc}
	return &conn{
		Conn: nc, pool: p, limiter: limiter, userTimeout: userTimeout,
		reader: bufio.NewReaderSize(limiter, connBufferBytes), writer: bufio.NewWriterSize(nc, connBufferBytes),
	}, nil
}

// get returns the most recently used connection that can be reused for the request, or nil
// if there is none.
func (p *Pool) get(r *Request) *conn {
	now := time.Now()
	for {
		c := p.pop(r, now)
		if c == nil {
			return nil
		}
		if c.idleUntil.After(now) && c.healthy() {
			return c
		}
		c.discard()
	}
}

// pop removes and returns the most recently used connection on which the request was not
// refused. With AvoidIdle it returns nil if that one has been idle for more than
// maxShortIdle; the others have been idle for longer.
func (p *Pool) pop(r *Request, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.idle) - 1
	for i >= 0 && p.idle[i].hasRefused(r.Key) {
		i--
	}
	if i < 0 || r.AvoidIdle && now.Sub(p.idle[i].idleSince) > maxShortIdle {
		return nil
	}
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if p.idleLimitUntil.After(now) && now.Sub(c.idleSince) > p.idleLimit {
		c.idleUntil = now
	}
	return c
}

// hasRefused reports whether a request with the key was refused on the connection.
func (c *conn) hasRefused(key string) bool {
	return key != "" && !avoidRefused.Off() && slices.Contains(c.refused, key)
}

// observeDrop records that the peer has dropped a connection that was idle for the
// given time.
func (p *Pool) observeDrop(idle time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Duration(idleLimitFactor * float64(idle))
	if p.idleLimitUntil.Before(now) || limit < p.idleLimit {
		p.idleLimit = limit
	}
	p.idleLimitUntil = now.Add(idleLimitTTL)
}

func (p *Pool) put(c *conn, idle time.Duration) {
	if c.outOfSync || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	now := time.Now()
	if idle == 0 || idle > maxIdleTime {
		idle = maxIdleTime
	}
	c.idleUntil = now.Add(idle - min(idleMargin, idle/4))
	c.idleSince = now
	p.mu.Lock()
	full := p.closed || len(p.idle) >= maxIdleConns
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if full {
		c.discard()
	}
}

// CloseExpired closes the connections whose idle time has expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleUntil.After(now) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// CloseIdle closes the idle connections, for example after one of them turned out
// to be dead.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// Close closes the idle connections. Connections in use are closed after their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
