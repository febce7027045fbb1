package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime      = 2 * time.Second // drainS
	storeSilentFor = 4 * time.Second
	// stayTime is how long the leaving backend serves after its acknowledgement.
	stayTime = 14 * time.Second
)

// drain: a backend leaves while the store is silent, and its daemon acknowledges that. Then
// all daemons are killed and start again, and the store comes back. The backend must get no
// request later than drainS after the acknowledgement, once all machines are in touch.
func drain(p *play) int {
	for i := range 8 {
		zone := []string{"scl-a", "scl-b"}[i/4]
		b, _ := p.addBackend(p.addMachine(zone, "agenda"), 9)
		b.work = 30 * time.Millisecond
	}
	leaver := p.backends[0]
	var mu sync.Mutex
	var arrivals []time.Time
	leaver.onRun = func(r *http.Request, id string) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		p.record.add("%s runs at %s, which leaves", id, leaver.id)
	}
	p.publish(7, []routeRow{{Name: "r-browse", Host: "agenda.example", Prefix: "/slots/", Type: "safe", TimeoutS: 1, TargetLatencyS: 0.4, Priority: 1, Service: "agenda", MaxAttempts: 2}}, "agenda")
	if !p.begin() {
		return failed
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range p.machines {
		clients.Go(func() { p.browse(m, "agenda.example", "/slots/", stop) })
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		p.record.add("the store falls silent")
		p.store.setSilent(true)
	}
	silentAt := time.Now()
	time.Sleep(time.Second)
	leaver.stopBeats()
	asked := time.Now()
	acked := leaver.deregister()
	ackedAt := time.Now()
	p.record.add("%s deregisters at %s: acknowledged %v after %d ms", leaver.id, p.machines[0].name, acked, ackedAt.Sub(asked).Milliseconds())
	time.Sleep(time.Second)
	if p.trouble {
		for _, m := range p.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, m := range p.machines {
			m.wait()
			if m.start() != nil {
				return failed
			}
		}
		time.Sleep(time.Until(silentAt.Add(storeSilentFor)))
		p.store.setSilent(false)
		p.record.add("the store answers again")
	}
	inTouch := ackedAt.Add(drainTime)
	if p.trouble {
		inTouch = time.Now().Add(stableWindow)
	}
	p.record.add("from %.3f all machines are in touch and drainS has passed", inTouch.Sub(p.record.started).Seconds())
	time.Sleep(time.Until(ackedAt.Add(stayTime)))
	leaver.deregister()
	leaver.end()
	p.record.add("%s has ended", leaver.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, before := 0, 0
	for _, at := range arrivals {
		if at.After(inTouch) {
			late++
		} else if at.Before(ackedAt) {
			before++
		}
	}
	p.record.add("%d requests reached the leaving backend before its acknowledgement, %d while drainS had passed and all machines were in touch", before, late)
	switch {
	case !acked:
		p.record.add("not acknowledged, so that nothing binds")
		return held
	case before == 0:
		return failed
	case late > 0:
		return broken
	}
	return held
}
