// Package client guards the servers of a process against clients that are not controlled: it
// charges their connections and the heads of their requests to an account of memory and
// descriptors, and closes those that have to give way.
package client

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/fairqueue"
	"pollenscale/core/fleet"
	"pollenscale/io/http1"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// headSlackBytes is what net/http reads at a time, which may belong to a later request.
const headSlackBytes = 4 << 10

// refusalLogInterval is the least time between two log lines about refusals of one reason.
const refusalLogInterval = time.Second

// Errors of reads.
var (
	// ErrNoMemory is the error of reads for which the account has no memory.
	ErrNoMemory = errors.New("no memory for the request")
	// errHeadTooLong is the error of a head that is far longer than allowed.
	errHeadTooLong = errors.New("head too long")
)

// Reason is why something was refused or ended.
type Reason string

// The reasons.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
	Exchanges   Reason = "exchanges"
	Attempts    Reason = "attempts"
	Streams     Reason = "streams"
	Stalled     Reason = "stalled"
	Head        Reason = "head"
)

// reasons are all reasons.
var reasons = []Reason{Memory, Connections, Exchanges, Attempts, Streams, Stalled, Head}

// Guard guards the servers of a process. Create it with New.
type Guard struct {
	account *budget.Account
	log     *slog.Logger
	now     func() time.Time
	// maxHead returns the length of the longest head, 0 if there is no limit beside that of the
	// server.
	maxHead  func() int
	counters map[Reason]*metrics.Counter
	loggedAt map[Reason]*atomic.Int64
}

// Option configures a guard that New creates.
type Option func(*Guard)

// WithLog sets the logger; the default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(g *Guard) { g.log = l } }

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(g *Guard) { g.now = now } }

// WithMaxHead sets the function that returns the length of the longest head. A connection is
// closed without a response if its head is more than twice as long.
func WithMaxHead(f func() int) Option { return func(g *Guard) { g.maxHead = f } }

// New returns a guard that charges an account and registers its metrics in a set.
func New(account *budget.Account, set *metrics.Set, options ...Option) *Guard {
	g := &Guard{
		account: account, log: slog.Default(), now: time.Now, maxHead: func() int { return 0 },
		counters: map[Reason]*metrics.Counter{}, loggedAt: map[Reason]*atomic.Int64{},
	}
	for _, o := range options {
		o(g)
	}
	for _, reason := range reasons {
		g.counters[reason] = set.GetOrCreateCounter(`pollenscale_budget_refused_total{reason="` + string(reason) + `"}`)
		g.loggedAt[reason] = &atomic.Int64{}
	}
	gauge := func(name string, f func() float64) {
		set.UnregisterMetric(name)
		set.NewGauge(name, f)
	}
	gauge("pollenscale_budget_bytes", func() float64 { return float64(account.Usage().Bytes) })
	gauge("pollenscale_budget_limit_bytes", func() float64 { return float64(account.Limits().Bytes) })
	gauge("pollenscale_budget_gave_way_total", func() float64 { return float64(account.Usage().Ended) })
	for _, k := range budget.Kinds() {
		gauge(`pollenscale_budget_descriptors{kind="`+string(k)+`"}`, func() float64 { return float64(account.Usage().Descriptors[k]) })
		gauge(`pollenscale_budget_limit_descriptors{kind="`+string(k)+`"}`, func() float64 { return float64(account.Limits().Descriptors[k]) })
	}
	return g
}

// Account returns the account.
func (g *Guard) Account() *budget.Account { return g.account }

// Refused returns the number of refusals for a reason.
func (g *Guard) Refused(reason Reason) uint64 { return g.counters[reason].Get() }

// CountRefused counts a refusal and logs it, at most one per reason and refusalLogInterval.
func (g *Guard) CountRefused(reason Reason, kind budget.Kind) {
	count, at := g.counters[reason], g.loggedAt[reason]
	count.Inc()
	now, last := g.now().UnixNano(), at.Load()
	if now-last < int64(refusalLogInterval) || !at.CompareAndSwap(last, now) {
		return
	}
	u := g.account.Usage()
	g.log.Warn("budget: refused.", "reason", reason, "kind", kind, "total", count.Get(), "bytes", u.Bytes, "descriptors", u.Descriptors)
}

// leastUrgent is the priority of work that can wait: it has the lowest one.
const leastUrgent = math.MaxInt

// Reserve reserves memory for requests that could wait. It returns the function that gives it
// back, nil if there is none. It may be called with the lock of a connection, so that it must not
// end connections: that takes their locks.
func (g *Guard) Reserve(n int) (release func()) {
	claim := g.account.Claim(leastUrgent)
	if !claim.GrowFree(fleet.Bytes(n)) {
		return nil
	}
	return claim.Release
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Listen makes a server charge its connections to the account, and returns the listener that it
// has to serve. Those of local interfaces can give way at any time: their calls are short.
func (g *Guard) Listen(server *http.Server, listener net.Listener, kind budget.Kind) net.Listener {
	handler := server.Handler
	local := kind != budget.Callers && kind != budget.Peers
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*Conn); ok {
			return context.WithValue(http1.ConnContext(ctx, c.Conn), connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*Conn); ok && state == http.StateIdle {
			c.serving.Store(false)
			c.headBytes.Store(0)
			c.entry.End(g.now())
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok || local {
			handler.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor > 1 {
			c.multiplex()
			handler.ServeHTTP(w, r)
			return
		}
		c.serving.Store(true)
		c.headBytes.Store(0)
		c.entry.Begin(g.now())
		if r.ContentLength != 0 {
			// net/http may wait for the rest of a body that the handler did not read, without
			// a time limit.
			defer func() { c.entry.End(g.now()) }()
		}
		handler.ServeHTTP(w, r)
	})
	return guardedListener{Listener: listener, guard: g, kind: kind}
}

// guardedListener limits the connections that it returns.
type guardedListener struct {
	net.Listener
	guard *Guard
	kind  budget.Kind
}

// Accept returns the next connection, which is a *Conn.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		kind := l.kind
		if kind == budget.Callers && fromSameHost(nc) {
			kind = budget.Nested
		}
		if c, ok := l.guard.Open(nc, kind); ok {
			return c, nil
		}
		l.guard.CountRefused(Connections, kind)
	}
}

// Open charges a connection to the account and reports whether it may stay. If not, it is closed.
func (g *Guard) Open(nc net.Conn, kind budget.Kind) (*Conn, bool) {
	c := &Conn{Conn: nc, guard: g, kind: kind}
	entry, ok := g.account.Open(kind, g.now(), c.end)
	if !ok {
		c.end()
		return nil, false
	}
	c.entry = entry
	if queue := g.queue(kind); queue != nil {
		c.flow = queue.Open(remoteAddress(nc))
	}
	if watched, ok := nc.(*http1.ClientConn); ok {
		watched.SetContext(context.WithValue(context.Background(), connKey{}, c))
	}
	return c, true
}

// queue returns the queue for places of requests on connections of a kind, nil if there is none.
func (g *Guard) queue(kind budget.Kind) *fairqueue.Queue {
	switch kind {
	case budget.Callers, budget.Nested:
		return g.account.Exchanges
	case budget.Peers:
		return g.account.Attempts
	case budget.Ready, budget.Control, budget.Metrics, budget.Exchanges, budget.Attempts, budget.Streams:
	}
	return nil
}

// fromSameHost reports whether a connection comes from its own address, as those of the target
// beside the daemon do.
func fromSameHost(c net.Conn) bool {
	local, ok := c.LocalAddr().(*net.TCPAddr)
	remote, ok2 := c.RemoteAddr().(*net.TCPAddr)
	return ok && ok2 && local.IP.Equal(remote.IP)
}

// remoteAddress returns the address of the client, the zero address if it is not known.
func remoteAddress(c net.Conn) netip.Addr {
	if remote, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return remote.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
