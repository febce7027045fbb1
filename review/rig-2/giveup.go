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
	pagePause    = 500 * time.Millisecond // between the pages of a client
	refreshPause = 100 * time.Millisecond // before the next page of a client that has left
	browseWork   = 120 * time.Millisecond
	leaveAfter   = 60 * time.Millisecond // less than half the objective of 400 ms
	pagers       = 15
	leaving      = 3 // of the pagers: a share of 0.2
	episodes     = 4
	episodeTime  = 5500 * time.Millisecond
	episodeGap   = 2 * time.Second
	calmDay      = 20 * time.Second
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
		pause := pagePause
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			pause = pagePause
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
				pause = refreshPause
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

// giveUpCase plays some seconds in which clients leave early by turns, and then a calm day, which
// alone is judged. Two of the six machines have clients.
func giveUpCase(f *fleet) error {
	for i := range 6 {
		service, d := "agenda", browseWork
		switch i {
		case 4:
			service, d = "reservas", 160*time.Millisecond
		case 5:
			service, d = "material", 140*time.Millisecond
		}
		if _, err := f.add(service, fmt.Sprintf("scl-%c", 'a'+i%2), "scl", 12, work(d)); err != nil {
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
	clients := f.machines[:2]
	var giveUp atomic.Bool
	start := func(t *tally, stop <-chan struct{}) *sync.WaitGroup {
		var wg sync.WaitGroup
		for _, m := range clients {
			for i := range pagers {
				m.pager(&wg, t, func() bool { return i < leaving && giveUp.Load() }, stop)
			}
			for range 3 {
				m.one(&wg, t, 300*time.Millisecond, postRequest("book", "/book/", 1200*time.Millisecond, 4000), stop)
				m.one(&wg, t, 300*time.Millisecond, postRequest("upload", "/upload/", 1200*time.Millisecond, 60000), stop)
			}
		}
		return &wg
	}
	before := newTally()
	stop := make(chan struct{})
	wg := start(before, stop)
	time.Sleep(3 * time.Second)
	for i := range episodes {
		if !untroubled() {
			giveUp.Store(true)
			f.record.printf("%d of %d browsing clients of each machine begin to leave early", leaving, pagers)
		}
		time.Sleep(episodeTime)
		giveUp.Store(false)
		f.record.printf("no client leaves early")
		for _, m := range clients {
			f.record.printf("%s after %d times: %s of %s bytes charged", m.name, i+1, m.metric("pollenscale_budget_bytes"), m.metric("pollenscale_budget_limit_bytes"))
		}
		time.Sleep(episodeGap)
	}
	close(stop)
	wg.Wait()
	time.Sleep(3 * time.Second)
	for _, m := range clients {
		fmt.Printf("%s before the calm day, without a request: %s of %s bytes charged\n", m.name, m.metric("pollenscale_budget_bytes"), m.metric("pollenscale_budget_limit_bytes"))
	}
	f.record.printf("the calm day begins")
	day := newTally()
	stop = make(chan struct{})
	wg = start(day, stop)
	time.Sleep(calmDay)
	close(stop)
	wg.Wait()
	text, broken := fmt.Sprintf("on the calm day %.3f of all requests were served", day.share("")), ""
	for _, k := range []string{"browse", "book", "upload"} {
		text += fmt.Sprintf(", %s %.3f of %d", k, day.share(k), day.sent[k])
		if day.share(k) < day.share("")/4 {
			broken += " " + k
		}
	}
	fmt.Println(text)
	f.record.printf("%s", text)
	if broken != "" {
		return fmt.Errorf("%w: Starved: served less than a quarter as often as all requests:%s", errBroken, broken)
	}
	return nil
}
