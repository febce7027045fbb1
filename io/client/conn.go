package client

import (
	"net"
	"sync"
	"sync/atomic"

	"pollenscale/core/budget"
	"pollenscale/core/fairqueue"
)

// Conn is a connection whose memory is charged to the account, and that the account may close.
type Conn struct {
	net.Conn
	guard *Guard
	kind  budget.Kind
	entry *budget.Conn
	flow  *fairqueue.Flow // nil for local interfaces
	// serving is set from the end of a head until its request and its body are done with.
	serving atomic.Bool
	// multiplexed is set for HTTP/2. The heads of its requests are charged when they are complete.
	multiplexed atomic.Bool
	// working is the number of requests of a multiplexed connection that have had a place.
	workMu  sync.Mutex
	working int
	// headBytes have arrived since the last head was complete.
	headBytes atomic.Int64
}

// end closes the connection for the account.
func (c *Conn) end() {
	if err := c.Conn.Close(); err != nil {
		c.guard.log.Debug("daemon: closing a connection failed.", "kind", c.kind, "error", err)
	}
}

// Read charges the bytes of heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.serving.Load() || c.multiplexed.Load() {
		return n, err
	}
	if most := c.guard.maxHeadBytes(); most > 0 && c.headBytes.Add(int64(n)) > most {
		return 0, c.refuse(Head, errHeadTooLong)
	}
	if !c.entry.ReadHead(budget.HeadCost(p[:n]), c.guard.now()) {
		return 0, c.refuse(Memory, ErrNoMemory)
	}
	return n, err
}

// multiplex records that the connection carries several requests at once. It may give way to others
// as long as none of them may be at a target.
func (c *Conn) multiplex() {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	if !c.multiplexed.Swap(true) {
		c.entry.End(c.guard.now())
	}
}

// beginWork records that a request of the connection may be at a target from now on.
func (c *Conn) beginWork() {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	c.working++
	if c.working == 1 {
		c.entry.Begin(c.guard.now())
	}
}

// endWork records that such a request has ended.
func (c *Conn) endWork() {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	c.working--
	if c.working == 0 {
		c.entry.End(c.guard.now())
	}
}

// refuse counts a refusal and returns an error at which net/http closes the connection without
// a response.
func (c *Conn) refuse(reason Reason, err error) error {
	c.guard.CountRefused(reason, c.kind)
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// maxHeadBytes returns the bytes without the end of a head after which a connection is closed,
// 0 if there is no limit beside that of the server. A head that exceeds the limit of the
// configuration by less gets a response.
func (g *Guard) maxHeadBytes() int64 {
	if most := g.maxHead(); most > 0 {
		return 2*int64(most) + headSlackBytes
	}
	return 0
}

// Write records how long it takes.
func (c *Conn) Write(p []byte) (int, error) {
	c.entry.BeginWrite(c.guard.now())
	defer func() { c.entry.EndWrite(c.guard.now()) }()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.entry.Close()
	if c.flow != nil {
		c.flow.Close()
	}
	return c.Conn.Close()
}

// CloseWrite ends the bytes to the client. net/http calls it before it waits for the client to
// close.
func (c *Conn) CloseWrite() error {
	c.entry.End(c.guard.now())
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}
