package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["born"] = bornCase }

const (
	clockStep   = 2400 * time.Millisecond // of the time of day on one machine
	restartTime = 800 * time.Millisecond  // from a crash of a backend to its next start
	servesOn    = 6 * time.Second         // after the acknowledgement of its leaving
)

// crash ends the backend without a word.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
	b.server.Close()
	b.machine.fleet.record.printf("backend %s on %s crashes", b.id, b.machine.name)
}

// restart starts the backend again under the id that it had. Its counts start anew, and born is
// the time of day on its machine.
func (b *backend) restart(clock time.Duration) error {
	l, err := net.Listen("tcp4", b.machine.addr(portApp))
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go b.server.Serve(l)
	b.born, b.seq, b.silent = time.Now().Add(clock).UnixMilli(), 0, false
	b.machine.fleet.record.printf("backend %s on %s starts again, born %d, the clock is %.1f s ahead", b.id, b.machine.name, b.born, clock.Seconds())
	return nil
}

// crashTwice makes the backend crash and start again twice. In between, the time of day on its
// machine jumps back to where it was; with TROUBLE=crash it doesn't jump at all.
func (b *backend) crashTwice() error {
	m, clock := b.machine, clockStep
	if os.Getenv("TROUBLE") == "crash" {
		clock = 0
	}
	m.fleet.record.printf("the time of day on %s jumps ahead by %v", m.name, clock)
	b.crash()
	time.Sleep(restartTime)
	if err := b.restart(clock); err != nil {
		return err
	}
	b.beat("ready")
	time.Sleep(time.Second)
	m.fleet.record.printf("the time of day on %s jumps back", m.name)
	b.crash()
	time.Sleep(restartTime)
	if err := b.restart(0); err != nil {
		return err
	}
	b.beat("ready")
	return nil
}

func bornCase(f *fleet) error {
	for i := range 6 {
		if _, err := f.add("reservas", fmt.Sprintf("scl-%c", 'a'+i%2), "scl", 9, work(bookWork)); err != nil {
			return err
		}
	}
	if err := f.publish(7, []map[string]any{routeRow("book", "/book/", "unsafe", "reservas", 1.2, 1)}, "reservas"); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	next := postRequest("book", "/book/", 1200*time.Millisecond, 400)
	for _, m := range f.machines[1:] {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{machine: m}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					q := next()
					a := c.once(q)
					mu.Lock()
					results[q.id] = a.status
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	m := f.machines[0]
	b := m.backend
	if !untroubled() {
		if err := b.crashTwice(); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second) // calm, more than stableWindowS

	b.mu.Lock()
	served := len(b.runs)
	b.draining = true
	b.mu.Unlock()
	if !b.beat("draining") {
		return fmt.Errorf("the leaving was not acknowledged")
	}
	acked := time.Now()
	f.record.printf("backend %s reports that it drains, which is acknowledged", b.id)
	time.Sleep(servesOn)
	left := b.call("instances.deregister", fmt.Appendf(nil, `{"born":%d}`, b.born))
	runs, running := b.awaitRunning(time.Second)
	f.record.printf("backend %s deregisters, acknowledged: %v, and exits with %d requests running", b.id, left, running)
	b.stop()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	broken, cut := 0, 0
	for _, r := range runs {
		if r.at.Sub(acked) > drainS {
			broken++
			f.record.printf("DRAIN %s reached backend %s %.2f s after the acknowledgement", r.id, b.id, r.at.Sub(acked).Seconds())
			if results[r.id] != 200 {
				cut++
				f.record.printf("%s is answered %d", r.id, results[r.id])
			}
		}
	}
	fmt.Printf("%d requests served before, %d later than drainS after the acknowledgement, %d of them cut by the exit\n", served, broken, cut)
	if broken > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached backend %s later than drainS after the acknowledgement", errBroken, broken, b.id)
	}
	return nil
}

// beat sends a heartbeat at once and reports whether it was acknowledged.
func (b *backend) beat(state string) bool {
	return b.call("instances.heartbeat", b.beatBody(state))
}
