// Command rig plays the cases of the review: it starts the daemons of the deploy file as
// separate processes on loopback addresses, with stand-ins for clients, backends and the
// platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

func main() {
	cases := map[string]func(*play) int{"early": early, "drain": drain, "poison": poison, "entry": entry}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.add("could not run: %v", err)
		os.Exit(failed)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		d.close(false)
		os.Exit(failed)
	}()
	p := &play{deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	code := cases[os.Args[1]](p)
	for _, b := range p.backends {
		b.end()
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	d.close(keep)
	if keep {
		fmt.Fprintln(os.Stderr, "logs in", d.dir)
	}
	rec.add("result: %d (0 held, 1 broken, 2 could not run)", code)
	os.Exit(code)
}

// startLimit is how long the daemons may take to become ready.
const startLimit = 15 * time.Second

// play is one play of a case.
type play struct {
	*deployment
	trouble  bool
	backends []*backend
}

// addBackend starts the backend beside a machine.
func (p *play) addBackend(m *machine, slots int) (*backend, error) {
	b := &backend{id: "i-" + newID()[:8], service: m.svc, address: m.address(portApp), control: m.address(portControl), zone: m.zone, slots: slots}
	p.backends = append(p.backends, b)
	return b, nil
}

// begin starts all daemons and backends and waits until the daemons are ready.
func (p *play) begin() bool {
	for _, b := range p.backends {
		if err := b.start(); err != nil {
			p.record.add("could not run: %v", err)
			return false
		}
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			p.record.add("could not run: %v", err)
			return false
		}
	}
	if !p.waitReady(startLimit) {
		p.record.add("could not run: the daemons did not become ready")
		return false
	}
	return true
}
