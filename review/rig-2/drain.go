package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	drainS        = 2 * time.Second
	stableWindowS = 3 * time.Second
	bookWork      = 160 * time.Millisecond
	storeDown     = 4 * time.Second // at most 4.5 s
)

func drainCase(f *fleet) error {
	for i := range 4 {
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
	// Clients of the other machines book.
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
	time.Sleep(3 * time.Second)

	m := f.machines[0]
	b := m.backend
	b.mu.Lock()
	b.silent = true // it leaves without reporting that it drains
	b.mu.Unlock()
	late := b.beatBody("ready")
	f.record.printf("backend %s on %s sends a heartbeat, which will arrive late", b.id, m.name)
	time.Sleep(200 * time.Millisecond)
	var acked time.Time
	for range 5 {
		if b.call("instances.deregister", fmt.Appendf(nil, `{"born":%d}`, b.born)) {
			acked = time.Now()
			break
		}
	}
	if acked.IsZero() {
		return fmt.Errorf("the leaving was not acknowledged")
	}
	f.record.printf("the leaving of backend %s is acknowledged", b.id)
	time.Sleep(200 * time.Millisecond)
	var up time.Time
	if untroubled() {
		up = time.Now().Add(storeDown)
		time.Sleep(2 * time.Second)
	} else {
		f.store.setDown(true)
		up = time.Now().Add(storeDown)
		f.record.printf("the store is down")
		m.signal(syscall.SIGKILL)
		m.awaitExit(time.Second)
		time.Sleep(time.Second)
		if err := m.start(); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	f.record.printf("the heartbeat arrives at %s, acknowledged: %v", m.name, b.call("instances.heartbeat", late))
	time.Sleep(time.Until(up))
	f.store.setDown(false)
	f.record.printf("the store is up")
	touch := time.Now().Add(stableWindowS)
	time.Sleep(6 * time.Second)

	runs, running := b.awaitRunning(time.Second)
	b.stop()
	f.record.printf("backend %s exits, %.1f s after the acknowledgement, with %d requests running", b.id, time.Since(acked).Seconds(), running)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	late2, touched, cut := 0, 0, 0
	for _, r := range runs {
		if r.at.Sub(acked) <= drainS {
			continue
		}
		late2++
		if r.at.After(touch) {
			touched++
			f.record.printf("DRAIN %s reached backend %s %.2f s after the acknowledgement", r.id, b.id, r.at.Sub(acked).Seconds())
		}
		if results[r.id] != 200 {
			cut++
			f.record.printf("%s ran at backend %s as it exited and is answered %d", r.id, b.id, results[r.id])
		}
	}
	fmt.Printf("later than drainS: %d requests, of which with all machines in touch: %d; cut by the exit of the backend: %d\n", late2, touched, cut)
	if touched > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached backend %s later than drainS after the acknowledgement", errBroken, touched, b.id)
	}
	return nil
}
