package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// membersTable is the table in which the daemons list themselves.
const membersTable = "members"

// missing lists the fields that the entry of another writer lacks.
var missing = []string{"Sequence", "Born", "Slots", "TargetState"}

// entry: another writer puts one entry with fields missing beside those of the daemons. It
// names an address at which a web server runs that has nothing to do with the system. Then
// three of the eight machines are stopped and started in turn. No request may go to that
// address, and no answer of that server to a client.
func entry(p *play) int {
	for i := range 8 {
		b, _ := p.addBackend(p.addMachine([]string{"scl-a", "scl-b"}[i/4], "agenda"), 9)
		b.work = 20 * time.Millisecond
	}
	foreign, err := net.Listen("tcp4", fmt.Sprintf("%s100:%d", p.prefix, p.port+portInbound))
	if err != nil {
		p.record.add("could not run: %v", err)
		return failed
	}
	var arrived atomic.Int64
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		p.record.add("%s arrives at the address in the odd entry", r.Header.Get("X-Pollenscale-Try-Id"))
		w.Write([]byte("It works!"))
	})}
	go web.Serve(foreign)
	defer web.Close()
	p.publish(7, []routeRow{{Name: "r-browse", Host: "agenda.example", Prefix: "/slots/", Type: "safe", TimeoutS: 1, TargetLatencyS: 0.4, Priority: 1, Service: "agenda", MaxAttempts: 2}}, "agenda")
	if !p.begin() {
		return failed
	}
	time.Sleep(stableWindow)
	if p.trouble {
		value, err := p.oddEntry(foreign.Addr().String())
		if err != nil {
			p.record.add("could not run: %v", err)
			return failed
		}
		p.store.put(membersTable, foreign.Addr().String(), value)
		p.record.add("another writer puts %s", value)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, strange atomic.Int64
	for _, m := range p.machines {
		clients.Go(func() {
			p.ask(m, "agenda.example", "/slots/", stop, func(id string, a answer) {
				switch {
				case a.err != nil || a.status/100 != 2:
				case a.stamp == "":
					strange.Add(1)
					p.record.add("%s gets %d without a stamp: %q", id, a.status, a.body)
				default:
					served.Add(1)
				}
			})
		})
	}
	time.Sleep(3 * time.Second)
	for _, m := range p.machines[:3] {
		m.signal(syscall.SIGTERM)
		m.wait()
		time.Sleep(restartDelay)
		if m.start() != nil {
			return failed
		}
		time.Sleep(rollGap)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	p.record.add("%d requests served; %d requests arrived at the address in the odd entry; %d clients got a success without a backend's stamp", served.Load(), arrived.Load(), strange.Load())
	switch {
	case served.Load() == 0:
		return failed
	case strange.Load() > 0:
		return broken
	}
	return held
}

// rollGap is the time between the start of a machine and the stop of the next one.
const rollGap = 1300 * time.Millisecond

// oddEntry returns an entry like that of a daemon, for another address and with fields
// missing.
func (p *play) oddEntry(address string) ([]byte, error) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for _, r := range p.store.rows {
		if r.Table != membersTable || r.Key != p.machines[0].address(portInbound) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(r.Value, &fields); err != nil {
			return nil, err
		}
		fields["Daemon"], fields["PeerAddress"], fields["Target"] = address, address, "i-"+newID()[:8]
		for _, name := range append(missing, "AnnounceAddress") {
			delete(fields, name)
		}
		return json.Marshal(fields)
	}
	return nil, os.ErrNotExist
}
