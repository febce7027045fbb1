package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// way is a direction through a proxy.
type way int

const (
	inward way = iota // to the process behind the proxy
	outward
)

// proxy passes connections and datagrams on to an address and misbehaves when
// told to.
type proxy struct {
	to       string
	listener net.Listener
	packets  *net.UDPConn
	group    errgroup.Group

	delay atomic.Int64   // of each piece, in nanoseconds
	cut   [2]atomic.Bool // whether pieces of each way are dropped

	mu     sync.Mutex
	closed bool
	links  map[*link]bool
	flows  map[string]*net.UDPConn // by sender
}

// link is a connection through the proxy.
type link struct {
	ends   [2]net.Conn
	silent atomic.Bool  // for good
	over   atomic.Int32 // ways that have ended
}

// newProxy returns a proxy for an address that passes nothing on until it is started.
func newProxy(to string) *proxy {
	return &proxy{to: to, links: map[*link]bool{}, flows: map[string]*net.UDPConn{}}
}

// start listens on an address for connections, and on another one for datagrams unless it
// is empty.
func (p *proxy) start(address, packetAddress, packetsTo string) error {
	var err error
	if p.listener, err = listen(address); err != nil {
		return err
	}
	p.group.Go(p.accept)
	if packetAddress == "" {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp4", packetAddress)
	if err != nil {
		return err
	}
	if p.packets, err = net.ListenUDP("udp4", at); err != nil {
		return err
	}
	p.group.Go(func() error { return p.receive(packetsTo) })
	return nil
}

// delayFor delays each piece for a while, by a sixteenth of it.
func (p *proxy) delayFor(length time.Duration) {
	p.delay.Store(int64(length / 16))
	time.Sleep(length)
	p.delay.Store(0)
}

// cutFor drops the pieces of one way for a while.
func (p *proxy) cutFor(w way, length time.Duration) {
	p.cut[w].Store(true)
	time.Sleep(length)
	p.cut[w].Store(false)
}

func (p *proxy) stop() {
	if p.listener != nil {
		p.listener.Close()
	}
	if p.packets != nil {
		p.packets.Close()
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.reset()
	p.mu.Lock()
	for _, flow := range p.flows {
		flow.Close()
	}
	p.mu.Unlock()
	if err := p.group.Wait(); err != nil {
		panic(err) // the harness itself failed
	}
}

// unlessClosed returns err unless the proxy was stopped.
func unlessClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (p *proxy) accept() error {
	for {
		front, err := p.listener.Accept()
		if err != nil {
			return unlessClosed(err)
		}
		p.group.Go(func() error {
			back, err := net.DialTimeout("tcp4", p.to, time.Second)
			if err != nil {
				front.(*net.TCPConn).SetLinger(0)
				front.Close()
				return nil
			}
			l := &link{ends: [2]net.Conn{back, front}}
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.closed {
				return errors.CombineErrors(front.Close(), back.Close())
			}
			p.links[l] = true
			p.group.Go(func() error { return p.pass(l, inward) })
			p.group.Go(func() error { return p.pass(l, outward) })
			return nil
		})
	}
}

// pass copies one way until either end closes. An end is passed on, unless the
// way is cut.
func (p *proxy) pass(l *link, w way) error {
	to, from := l.ends[w], l.ends[1-w]
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if err == nil && (l.silent.Load() || p.cut[w].Load()) {
			l.silent.Store(true) // bytes are missing from now on
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	if l.over.Add(1) == 2 {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}
	if !l.silent.Load() {
		to.Close()
	}
	from.Close()
	return nil
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, c := range l.ends {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// silence drops what the connections of the moment carry, for good. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
}

// receive passes datagrams on, each sender's from a socket of its own.
func (p *proxy) receive(to string) error {
	target, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return err
	}
	buffer := make([]byte, 2<<10)
	for {
		n, from, err := p.packets.ReadFromUDP(buffer)
		if err != nil {
			return unlessClosed(err)
		}
		flow, err := p.flow(from)
		if err != nil {
			return unlessClosed(err)
		}
		if !p.cut[inward].Load() {
			time.Sleep(time.Duration(p.delay.Load()) / 8)
			flow.WriteToUDP(buffer[:n], target)
		}
	}
}

// flow returns the socket for a sender's datagrams.
func (p *proxy) flow(from *net.UDPAddr) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.flows[from.String()]; c != nil {
		return c, nil
	}
	if p.closed {
		return nil, net.ErrClosed
	}
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: p.packets.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, err
	}
	p.flows[from.String()] = c
	p.group.Go(func() error {
		buffer := make([]byte, 2<<10)
		for {
			n, _, err := c.ReadFromUDP(buffer)
			if err != nil {
				return unlessClosed(err)
			}
			if !p.cut[outward].Load() {
				p.packets.WriteToUDP(buffer[:n], from)
			}
		}
	})
	return c, nil
}
