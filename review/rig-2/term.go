package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = termCase }

const (
	batchRequests = 4
	browsers      = 12
	graceS        = 6 * time.Second
	termWork      = 120 * time.Millisecond
)

// outcome is what became of a request of a batch.
type outcome struct {
	request  request
	machine  *machine
	sentAt   time.Time
	endedAt  time.Time
	answered bool
}

// batches is a client that sends batches of lookups on a kept connection, each in one write,
// and reads the answers in their order. It respects "Connection: close": it opens a new
// connection for what comes next. It sends while the platform counts the machine as ready.
func (m *machine) batches(wg *sync.WaitGroup, ready *readiness, stop <-chan struct{}, done func(outcome)) {
	wg.Add(1)
	next := getRequest("browse", "/browse/", time.Second)
	go func() {
		defer wg.Done()
		c := &client{machine: m}
		defer c.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if !ready.in() {
				c.close()
				continue
			}
			if !c.connect() {
				continue
			}
			var batch []request
			text := ""
			for range batchRequests {
				q := next()
				batch = append(batch, q)
				text += q.text
				m.fleet.record.printf("client of %s sends %s (browse)", m.name, q.id)
			}
			c.conn.SetDeadline(time.Now().Add(3 * time.Second))
			io.WriteString(c.conn, text)
			sentAt := time.Now()
			closed := false
			for _, q := range batch {
				o := outcome{request: q, machine: m, sentAt: sentAt}
				if !closed {
					a := read(c.rd, q)
					o.answered = a.status != 0
					closed = a.closes
					m.fleet.record.printf("client of %s: %s is answered %d, connection closes: %v", m.name, q.id, a.status, a.closes)
				}
				o.endedAt = time.Now()
				if !o.answered {
					m.fleet.record.printf("client of %s: the connection ended without an answer to %s", m.name, q.id)
				}
				done(o)
			}
			if closed {
				c.close()
			}
		}
	}()
}

// readiness is the platform's check of a daemon, once a second: two misses take it out.
type readiness struct {
	mu     sync.Mutex
	misses int
}

func (r *readiness) in() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses < 2
}

func (m *machine) watchReady(stop <-chan struct{}) *readiness {
	r := &readiness{}
	go func() {
		for {
			ok := m.ready()
			r.mu.Lock()
			r.misses++
			if ok {
				r.misses = 0
			}
			r.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return r
}

func termCase(f *fleet) error {
	for i := range 4 {
		if _, err := f.add("agenda", fmt.Sprintf("scl-%c", 'a'+i%2), "scl", 40, work(termWork)); err != nil {
			return err
		}
	}
	if err := f.publish(7, []map[string]any{routeRow("browse", "/browse/", "safe", "agenda", 1, 1)}, "agenda"); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	terms := map[*machine]time.Time{}
	for _, m := range f.machines[:2] {
		ready := m.watchReady(stop)
		for range browsers {
			m.batches(&wg, ready, stop, func(o outcome) {
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			})
		}
	}
	time.Sleep(5 * time.Second)
	for _, m := range f.machines[:2] { // roll_term, one machine at a time
		if untroubled() {
			time.Sleep(4 * time.Second)
			continue
		}
		mu.Lock()
		terms[m] = time.Now()
		mu.Unlock()
		m.signal(syscall.SIGTERM)
		if !m.awaitExit(graceS) {
			m.signal(syscall.SIGKILL)
		}
		f.record.printf("daemon %s has ended", m.name)
		if err := m.start(); err != nil {
			return err
		}
		if !m.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	ran := map[string]time.Time{}
	for _, m := range f.machines {
		m.backend.mu.Lock()
		for _, r := range m.backend.runs {
			ran[r.id] = r.at
		}
		m.backend.mu.Unlock()
	}
	lost, answered := 0, 0
	for _, o := range outcomes {
		if o.answered {
			answered++
			continue
		}
		at, passedOn := ran[o.request.id]
		term, termed := terms[o.machine]
		// LOST, around a SIGTERM until 1 s after graceS, well before the request's deadline.
		if passedOn && termed && o.endedAt.After(term) && o.endedAt.Before(term.Add(graceS+time.Second)) && o.endedAt.Sub(o.sentAt) < 900*time.Millisecond {
			lost++
			f.record.printf("LOST %s: sent %.0f ms and run %.0f ms before its connection ended", o.request.id,
				float64(o.endedAt.Sub(o.sentAt).Milliseconds()), float64(o.endedAt.Sub(at).Milliseconds()))
		}
	}
	fmt.Printf("%d of %d requests answered; passed on to a backend and never answered: %d\n", answered, len(outcomes), lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests were passed on to a backend, and their connections ended without an answer", errBroken, lost)
	}
	return nil
}
