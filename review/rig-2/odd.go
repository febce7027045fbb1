package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["odd"] = oddCase }

const oddJudged = 12 * time.Second

// oddBeat is a heartbeat of another writer: address, zone, version and coldRemainingS are
// missing, and the service is not that of the backend with the id.
func oddBeat(service string) []byte {
	data, _ := json.Marshal(map[string]any{
		"born":   time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "slots": 9},
		"status": map[string]any{"state": "ready", "seq": 1},
	})
	return data
}

func oddCase(f *fleet) error {
	for i := range 6 {
		service, d := "agenda", browseWork
		if i >= 3 {
			service, d = "cobros", 96*time.Millisecond
		}
		if _, err := f.add(service, fmt.Sprintf("scl-%c", 'a'+i%2), "scl", 9, work(d)); err != nil {
			return err
		}
	}
	if err := f.publish(7, []map[string]any{
		routeRow("browse", "/browse/", "safe", "agenda", 1, 1),
		routeRow("charge", "/charge/", "unsafe", "cobros", 0.8, 0),
	}, "agenda", "cobros"); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	t := newTally()
	for _, m := range f.machines {
		for range 2 {
			m.one(&wg, t, 100*time.Millisecond, getRequest("browse", "/browse/", time.Second), stop)
			m.one(&wg, t, 100*time.Millisecond, postRequest("charge", "/charge/", 800*time.Millisecond, 200), stop)
		}
	}
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	b := m.backend
	if !untroubled() {
		body := oddBeat("cobros")
		f.record.printf("another writer sends a heartbeat for %s (%s) to %s: %s", b.id, m.service, m.name, body)
		f.record.printf("acknowledged: %v", b.call("instances.heartbeat", body))
	}
	time.Sleep(oddJudged)
	close(stop)
	wg.Wait()
	foreign, last := 0, time.Time{}
	for _, o := range f.machines {
		o.backend.mu.Lock()
		for _, r := range o.backend.runs {
			if o.service == "agenda" && len(r.path) > 8 && r.path[:8] == "/charge/" {
				foreign++
				last = r.at
				f.record.printf("ROUTE %s %s runs at backend %s of service %s", r.id, r.path, o.backend.id, o.service)
			}
		}
		o.backend.mu.Unlock()
	}
	fmt.Printf("charges served %.3f of %d; run by the service agenda: %d", t.share("charge"), t.sent["charge"], foreign)
	if foreign > 0 {
		fmt.Printf(", the last %.1f s before the end", time.Since(last).Seconds())
	}
	fmt.Println()
	if foreign > 0 {
		return fmt.Errorf("%w: ROUTE: %d charges were run by a service to which no configuration allows them to go", errBroken, foreign)
	}
	return nil
}
