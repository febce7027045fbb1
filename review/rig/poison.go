package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// backAfter is how long a crashed backend is down.
	backAfter = 3 * time.Second
	// poisonEvery is how often the request that crashes backends comes again.
	poisonEvery = 150 * time.Millisecond
	// poisonFor is how long it comes after each restart.
	poisonFor = 3500 * time.Millisecond
)

// arrival is one run of the request that crashes backends.
type arrival struct {
	at      time.Time
	inTouch bool
}

// poison: a request crashes each backend that runs it, and comes again and again. The
// daemons beside the backends are stopped and started in turn. Later than stableWindowS
// after its third crash it must not reach backends more than three times.
func poison(p *play) int {
	var mu sync.Mutex
	var arrivals []arrival
	disturbed := map[*machine]time.Time{}
	busy := map[*machine]bool{}
	for _, zone := range []string{"scl-a", "scl-b"} {
		b, _ := p.addBackend(p.addMachine(zone, "agenda"), 9)
		b.work = 30 * time.Millisecond
	}
	entries := p.machines
	lost := 0
	var add func(m *machine)
	add = func(m *machine) {
		b, _ := p.addBackend(m, 9)
		b.run = func(w http.ResponseWriter, r *http.Request, id string) {
			if r.URL.Path != "/book/poison" {
				time.Sleep(60 * time.Millisecond)
				w.Write([]byte("booked"))
				return
			}
			mu.Lock()
			now := time.Now()
			a := arrival{at: now, inTouch: !busy[m] && now.Sub(disturbed[m]) > stableWindow}
			arrivals = append(arrivals, a)
			n := len(arrivals)
			mu.Unlock()
			p.record.add("%s crashes %s beside %s: crash %d, machine in touch %v", id, b.id, m.name, n, a.inTouch)
			go func() {
				b.end()
				time.Sleep(backAfter)
				next := &backend{id: "i-" + newID()[:8], service: b.service, address: b.address, control: b.control, zone: b.zone, slots: b.slots, run: b.run}
				if next.start() == nil {
					mu.Lock()
					p.backends = append(p.backends, next)
					mu.Unlock()
					b = next
				}
			}()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	for _, zone := range []string{"scl-a", "scl-b", "scl-a", "scl-b", "scl-a", "scl-b"} {
		add(p.addMachine(zone, "reservas"))
	}
	beside := p.machines[2:]
	p.publish(7, []routeRow{{Name: "r-book", Host: "reservas.example", Prefix: "/book/", Type: "unsafe", TimeoutS: 1.2, TargetLatencyS: 0.5, Priority: 1, Service: "reservas", MaxAttempts: 2}}, "agenda", "reservas")
	if !p.begin() {
		return failed
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var comes atomic.Bool
	comes.Store(true)
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(poisonEvery):
			}
			if !comes.Load() {
				continue
			}
			m := entries[i%len(entries)]
			if c, err := dial(m.address(portOutbound)); err == nil {
				id := newID()
				a := c.get("POST", "reservas.example", "/book/poison", id, 1200*time.Millisecond)
				p.record.add("%s, which crashes backends, sent to %s: %v %s", id, m.name, a, a.body)
				c.Close()
			}
		}
	})
	for _, m := range entries {
		for range 3 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					if c, err := dial(m.address(portOutbound)); err == nil {
						id := newID()
						a := c.get("POST", "reservas.example", "/book/"+id, id, 1200*time.Millisecond)
						if a.err != nil || a.status != 200 {
							p.record.add("%s sent to %s: %v", id, m.name, a)
						}
						if a.err != nil || a.status == 502 || a.status == 504 {
							mu.Lock()
							lost++
							mu.Unlock()
						}
						c.Close()
					}
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	for _, m := range beside {
		comes.Store(false)
		if p.trouble {
			mu.Lock()
			busy[m] = true
			mu.Unlock()
			m.signal(syscall.SIGTERM)
			m.wait()
			time.Sleep(restartDelay)
			if m.start() != nil {
				return failed
			}
			mu.Lock()
			busy[m], disturbed[m] = false, time.Now()
			mu.Unlock()
		}
		time.Sleep(stableWindow + 500*time.Millisecond)
		comes.Store(true)
		time.Sleep(poisonFor)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	later, touch := 0, 0
	if len(arrivals) >= 3 {
		for _, a := range arrivals[3:] {
			if a.at.Sub(arrivals[2].at) > stableWindow {
				later++
				if a.inTouch {
					touch++
				}
			}
		}
	}
	p.record.add("%d crashes; %d later than stableWindowS after the third, %d of them through machines in touch; %d bookings ended unknown", len(arrivals), later, touch, lost)
	switch {
	case len(arrivals) == 0:
		return failed
	case touch > 3:
		return broken
	}
	return held
}
