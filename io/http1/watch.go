package http1

import (
	"context"
	"net"
	"os"
	"sync"

	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// watchPipelined is a mechanism that tests can switch off.
var watchPipelined = mutant.New("http1/watch-pipelined")

// maxReadAhead limits the bytes of later requests that are read during a request. The close
// of a connection with more of them is noticed after the request.
const maxReadAhead = 64 << 10

// Listener accepts connections of clients that may send further requests before the first
// one has been answered (pipelining). A net/http server stops watching for the close of a
// connection as soon as a byte of a later request has arrived; these connections go on.
type Listener struct {
	*net.TCPListener
	// Early starts pipelined requests before their turn; nil means that all wait.
	Early Early
	// Reserve reserves memory for pipelined requests. It returns the function that gives it
	// back, or nil if there is none; nil means no limit.
	Reserve Reserve
}

// Reserve reserves a number of bytes and returns the function that gives them back, nil if
// there are none.
type Reserve func(bytes int) (release func())

// Accept returns the next connection, which is a *ClientConn.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	watched := &ClientConn{TCPConn: c, early: l.Early, reserve: l.Reserve, ctx: context.Background()}
	watched.changed.L = &watched.mu
	return watched, nil
}

// ClientConn is a connection of a client.
type ClientConn struct {
	*net.TCPConn

	mu      sync.Mutex
	changed sync.Cond
	ahead   []byte // read ahead and not yet returned by Read
	err     error  // ended the connection
	reading bool   // the read-ahead is running
	onGone  func()
	closed  bool
	closing bool // a request closes the connection after its response
	early   Early
	framer  framer
	queue   []*pipelined // the request in progress and those behind it
	group   errgroup.Group
	reserve Reserve
	// releaseAhead gives back the memory of ahead, nil if there is none.
	releaseAhead func()
	ctx          context.Context // parent of those of requests that are started early
}

// SetContext sets the parent of the contexts of requests that are started before their turn. It
// is called before the first read.
func (c *ClientConn) SetContext(ctx context.Context) { c.ctx = ctx }

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is meant for
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Read reads from the connection. A net/http server waits for the close of a connection
// during a request by a read of a single byte. If that read returns a byte of a later
// request, the read-ahead takes over.
func (c *ClientConn) Read(p []byte) (int, error) {
	if n, err, done := c.readAhead(p); done {
		return n, err
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.addRead(p[:n])
	}
	return n, err
}

// addRead evaluates bytes that a server has read.
func (c *ClientConn) addRead(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame(b)
	if len(b) == 1 && !c.reading && !watchPipelined.Off() && c.reserveAhead() {
		c.reading = true
		c.group.Go(c.runReadAhead)
	}
}

// reserveAhead reserves memory for the read-ahead, which is given back when the connection is
// closed. The caller holds the lock.
func (c *ClientConn) reserveAhead() bool {
	if c.releaseAhead == nil && !c.closed {
		c.releaseAhead = c.reserved(maxReadAhead)
	}
	return c.releaseAhead != nil
}

// reserved reserves memory.
func (c *ClientConn) reserved(n int) func() {
	if c.reserve == nil {
		return func() {}
	}
	return c.reserve(n)
}

// readAhead returns bytes that were read ahead. It reports done = false if there are none
// and the read-ahead is not running.
func (c *ClientConn) readAhead(p []byte) (n int, err error, done bool) { //nolint:revive // done qualifies the results of a read
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) == 0 && c.reading {
		c.changed.Wait()
	}
	if c.err != nil {
		// The client has gone; nobody reads the responses to its later requests.
		return 0, c.err, true
	}
	if len(c.ahead) == 0 {
		return 0, nil, false
	}
	n = copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil, true
}

// runReadAhead reads until the connection ends, a read deadline passes or maxReadAhead is
// reached.
func (c *ClientConn) runReadAhead() error {
	buffer := make([]byte, connBufferBytes)
	for {
		n, err := c.TCPConn.Read(buffer)
		if !c.addAhead(buffer[:n], err) {
			return nil
		}
	}
}

// addAhead stores the result of a read and reports whether the read-ahead goes on.
func (c *ClientConn) addAhead(b []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = append(c.ahead, b...)
	c.frame(b)
	c.reading = err == nil && len(c.ahead) < maxReadAhead
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
		c.giveUpQueue()
		if c.onGone != nil {
			c.onGone()
		}
	}
	c.changed.Broadcast()
	return c.reading
}

// ResetOnClose makes the close of the connection of the request with the context a reset. A
// client to which a response without a length is sent recognises by it that the response is
// not complete.
func ResetOnClose(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(*ClientConn)
	if !ok {
		return nil
	}
	return c.SetLinger(0)
}
