package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["give-up"] = giveUpCase }

const (
	pageRequests = 6                      // lookups of a page, sent one behind the other
	writeGap     = 3 * time.Millisecond   // between the lookups of a page
	pagePause    = 250 * time.Millisecond // between the pages of a client
	browseWork   = 120 * time.Millisecond
	leaveAfter   = 60 * time.Millisecond // less than half the objective of 400 ms
	pagers       = 15
	leaving      = 3 // of the pagers: a share of 0.2
	episodes     = 7
	episodeTime  = 5500 * time.Millisecond
	episodeGap   = 3 * time.Second
	judged       = 15 * time.Second
)

// pager is a client that sends the lookups of a page on a kept connection, each without
// waiting for the answer to the one before. While leaves is set, it leaves early.
func (m *machine) pager(wg *sync.WaitGroup, t *tally, leaves func() bool, stop <-chan struct{}) {
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
			case <-time.After(pagePause):
			}
			if !c.connect() {
				t.add("browse", false)
				continue
			}
			var page []request
			for range pageRequests {
				q := next()
				page = append(page, q)
				m.fleet.record.printf("client of %s sends %s (browse)", m.name, q.id)
				io.WriteString(c.conn, q.text)
				time.Sleep(writeGap)
			}
			if leaves() {
				time.Sleep(leaveAfter - pageRequests*writeGap)
				c.close()
				m.fleet.record.printf("client of %s leaves before the answer to %s and those behind it", m.name, page[0].id)
				continue
			}
			c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			for i, q := range page {
				a := read(c.rd, q)
				m.fleet.record.printf("client of %s: %s (browse) is answered %d", m.name, q.id, a.status)
				t.add("browse", a.ok())
				if a.closes {
					c.close()
					for range page[i+1:] { // once more, one after the other
						t.add("browse", c.once(next()).ok())
					}
					break
				}
			}
		}
	}()
}

func giveUpCase(f *fleet) error {
	for i := range 8 {
		service, slots := "agenda", 12
		d := browseWork
		switch i % 4 {
		case 2:
			service, d = "reservas", 160*time.Millisecond
		case 3:
			service, d = "material", 140*time.Millisecond
		}
		if _, err := f.add(service, fmt.Sprintf("scl-%c", 'a'+i%2), "scl", slots, work(d)); err != nil {
			return err
		}
	}
	if err := f.publish(7, []map[string]any{
		routeRow("browse", "/browse/", "safe", "agenda", 1, 1),
		routeRow("book", "/book/", "unsafe", "reservas", 1.2, 1),
		routeRow("upload", "/upload/", "upload", "material", 1.2, 2),
	}, "agenda", "reservas", "material"); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	m, other := f.machines[0], f.machines[4]
	var giveUp atomic.Bool
	phase := newTally()
	var current atomic.Pointer[tally]
	current.Store(phase)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	start := func(t *tally, m *machine, leavers int) {
		for i := range pagers {
			m.pager(&wg, t, func() bool { return i < leavers && giveUp.Load() }, stop)
		}
		for range 3 {
			m.one(&wg, t, 200*time.Millisecond, postRequest("book", "/book/", 1200*time.Millisecond, 4000), stop)
			m.one(&wg, t, 300*time.Millisecond, postRequest("upload", "/upload/", 1200*time.Millisecond, 60000), stop)
		}
	}
	before := newTally()
	start(before, m, leaving)
	time.Sleep(3 * time.Second)
	for i := range episodes {
		if !untroubled() {
			giveUp.Store(true)
			f.record.printf("%d of %d clients of %s begin to leave early", leaving, pagers, m.name)
		}
		time.Sleep(episodeTime)
		giveUp.Store(false)
		f.record.printf("no client leaves early")
		fmt.Printf("after %d episodes: bytes charged %s of %s\n", i+1, m.metric("pollenscale_budget_bytes"), m.metric("pollenscale_budget_limit_bytes"))
		time.Sleep(episodeGap)
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * time.Second)
	// From here on nothing disturbs the deployment.
	stop = make(chan struct{})
	here, there := newTally(), newTally()
	f.record.printf("judged from here")
	start(here, m, 0)
	start(there, other, 0)
	time.Sleep(judged)
	close(stop)
	wg.Wait()
	var broken string
	for _, t := range []struct {
		name string
		t    *tally
	}{{m.name, here}, {other.name, there}} {
		text := fmt.Sprintf("%s: served %.3f of all requests", t.name, t.t.share(""))
		for _, k := range []string{"browse", "book", "upload"} {
			text += fmt.Sprintf(", %s %.3f of %d", k, t.t.share(k), t.t.sent[k])
			if t.t == here && t.t.share(k) < t.t.share("")/4 {
				broken += " " + k
			}
		}
		fmt.Println(text)
		f.record.printf("%s", text)
	}
	if broken != "" {
		return fmt.Errorf("%w: Starved: %s of the clients of %s served less than a quarter as often as all", errBroken, broken, m.name)
	}
	return nil
}
