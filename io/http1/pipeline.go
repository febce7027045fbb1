package http1

import (
	"context"
	"net/http"

	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	startPipelined = mutant.New("http1/start-pipelined")
	discardGivenUp = mutant.New("http1/discard-given-up")
)

// maxEarly limits the requests of one connection that are started before their turn.
const maxEarly = 8

// Prepared is a response that is ready to be written. One of the functions is called.
type Prepared struct {
	// Respond writes the response.
	Respond http.HandlerFunc
	// Discard gives the response up.
	Discard func()
}

// Early prepares the response to a pipelined request before its turn, until ctx ends. It
// returns nil if the request has to wait for its turn.
type Early func(ctx context.Context, r *http.Request) *Prepared

// pipelined is a request that has arrived on a connection and has not been answered.
type pipelined struct {
	request *http.Request
	cancel  func()
	done    chan struct{} // closed when prepared is set, nil unless started early
	// prepared is nil if the request has to be handled in its turn.
	prepared *Prepared
	// begun is set when its turn has come, which uses the response, and givenUp when its turn
	// will not come any more.
	begun, givenUp bool
	release        func() // gives back its memory, nil if there is none
}

// frame finds the requests in bytes that have arrived, and starts those that need not wait
// for their turn. The caller holds the lock.
func (c *ClientConn) frame(b []byte) {
	if c.closed {
		return
	}
	for _, r := range c.framer.feed(b) {
		p := &pipelined{request: r}
		if len(c.queue) > 0 {
			if p.release = c.reservedFor(r); p.release == nil {
				// It is handled in its turn, as are those behind it.
				c.framer.lost = true
				return
			}
		}
		if c.startsEarly(r) {
			c.start(p)
		}
		c.queue = append(c.queue, p)
		c.closing = c.closing || r.Close
	}
}

// maxQueued limits the requests of one connection that are kept until their turn.
const maxQueued = 32

const (
	// queuedBytes is the memory of a request that is kept beside its header.
	queuedBytes = 1 << 10
	// queuedFieldBytes is the memory of a header field beside its bytes.
	queuedFieldBytes = 128
)

// reservedFor reserves the memory of a request behind another one. It returns nil if there is
// none or too many requests are kept.
func (c *ClientConn) reservedFor(r *http.Request) func() {
	if len(c.queue) >= maxQueued {
		return nil
	}
	cost := queuedBytes
	for name, values := range r.Header {
		for _, v := range values {
			cost += queuedFieldBytes + len(name) + len(v)
		}
	}
	return c.reserved(cost)
}

// giveBack gives back the memory of the request. The caller holds the lock.
func (p *pipelined) giveBack() {
	if p.release != nil {
		p.release()
		p.release = nil
	}
}

// startsEarly reports whether the request may be started although earlier ones have not
// been answered. Requests behind one that closes the connection are not run.
func (c *ClientConn) startsEarly(r *http.Request) bool {
	waiting := len(c.queue)
	return c.early != nil && waiting > 0 && waiting <= maxEarly && !c.closing && !r.Close && r.ContentLength == 0 &&
		!startPipelined.Off()
}

func (c *ClientConn) start(p *pipelined) {
	ctx, cancel := context.WithCancel(c.ctx)
	p.cancel, p.done = cancel, make(chan struct{})
	c.group.Go(func() error {
		prepared := c.early(ctx, p.request)
		c.mu.Lock()
		defer c.mu.Unlock()
		if p.givenUp && !discardGivenUp.Off() && prepared != nil {
			prepared.Discard()
			prepared = nil
		}
		p.prepared = prepared
		close(p.done)
		return nil
	})
}

// giveUpQueue ends the requests that have not been answered. A response whose preparation goes
// on is discarded when it ends. The caller holds the lock.
func (c *ClientConn) giveUpQueue() {
	for _, p := range c.queue {
		p.giveBack()
		p.givenUp = !p.begun
		if p.cancel == nil {
			continue
		}
		p.cancel()
		if p.givenUp && p.prepared != nil {
			p.prepared.Discard()
			p.prepared = nil
		}
	}
	c.queue, c.framer.lost = nil, true
}

// Close closes the connection and ends what was started for its later requests.
func (c *ClientConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.giveUpQueue()
	if c.releaseAhead != nil {
		c.releaseAhead()
		c.releaseAhead = nil
	}
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// Turn is a request whose turn on its connection has come.
type Turn struct {
	conn  *ClientConn
	entry *pipelined
}

// BeginTurn begins the turn of a request that a server has passed to its handler. It calls
// cancel when the client closes the connection. The caller calls End.
func BeginTurn(r *http.Request, cancel func()) *Turn {
	c, ok := r.Context().Value(connKey{}).(*ClientConn)
	if !ok {
		return &Turn{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = cancel
	if c.err != nil {
		cancel()
	}
	t := &Turn{conn: c}
	if len(c.queue) > 0 && c.queue[0].matches(r) {
		t.entry = c.queue[0]
		t.entry.begun = true
	} else {
		c.giveUpQueue()
	}
	return t
}

// matches reports whether the request of a handler is this one.
func (p *pipelined) matches(r *http.Request) bool {
	return p.request.Method == r.Method && p.request.RequestURI == r.RequestURI && p.request.Host == r.Host
}

// Prepared returns the response that was prepared before the turn, and waits for it. It
// returns nil if the request has to be handled now.
func (t *Turn) Prepared() *Prepared {
	if t.entry == nil || t.entry.done == nil {
		return nil
	}
	<-t.entry.done
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	prepared := t.entry.prepared
	t.entry.prepared = nil
	return prepared
}

// End ends the turn.
func (t *Turn) End() {
	c := t.conn
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = nil
	if t.entry != nil && len(c.queue) > 0 && c.queue[0] == t.entry {
		c.queue = c.queue[1:]
		t.entry.giveBack()
		if t.entry.cancel != nil {
			t.entry.cancel()
		}
	}
}
