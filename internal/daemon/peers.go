package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/internal/settings"

	"golang.org/x/sync/errgroup"
)

const (
	// probeInterval bounds how long a sign of draining at an idle peer goes
	// unnoticed.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// doubtFor is how long a peer that could not be reached is avoided while
	// others can be.
	doubtFor = time.Second
)

// peerList is a fixed list of daemons, used until membership provides one. It
// learns incarnations, states and loads by probing, and chooses targets by the
// power of two choices.
type peerList struct {
	probe func(context.Context, string, fleet.Service) (fleet.Load, error)
	now   func() time.Time
	peers map[fleet.Service][]*peerEntry
	byID  map[fleet.DaemonID]*peerEntry
}

// peerEntry is what is known of one daemon.
type peerEntry struct {
	// mine counts the attempts of this entry that are under way.
	mine atomic.Int64

	mu      sync.Mutex
	target  fleet.Target
	load    fleet.Load
	doubted time.Time
}

func newPeerList(s *settings.Settings, own fleet.Target, now func() time.Time) *peerList {
	l := &peerList{now: now, peers: map[fleet.Service][]*peerEntry{}, byID: map[fleet.DaemonID]*peerEntry{}}
	l.add(own)
	for _, p := range s.Peers {
		if p.Daemon == own.Daemon {
			continue
		}
		l.add(fleet.Target{
			Daemon:      p.Daemon,
			PeerAddress: p.PeerAddress,
			Place:       fleet.Place{Region: p.Region, AvailabilityZone: p.AvailabilityZone},
			Service:     p.Service,
		})
	}
	return l
}

func (l *peerList) add(t fleet.Target) {
	e := &peerEntry{target: t}
	l.peers[t.Service] = append(l.peers[t.Service], e)
	l.byID[t.Daemon] = e
}

// run probes the peers until ctx ends.
func (l *peerList) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		l.probeAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *peerList) probeAll(ctx context.Context) {
	var group errgroup.Group
	for _, e := range l.byID {
		group.Go(func() error {
			l.probeOne(ctx, e)
			return nil
		})
	}
	_ = group.Wait() // probes return no error
}

func (l *peerList) probeOne(ctx context.Context, e *peerEntry) {
	e.mu.Lock()
	address, service := e.target.PeerAddress, e.target.Service
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := l.probe(ctx, address, service)
	if err != nil {
		e.doubt(l.now())
		return
	}
	e.report(load)
}

// choose returns the less loaded of two random targets that take work.
func (l *peerList) choose(_ context.Context, c dispatch.Choice) (fleet.Target, error) {
	var buf [64]*peerEntry
	usable := l.usable(buf[:0], c, true)
	if len(usable) == 0 {
		usable = l.usable(buf[:0], c, false)
	}
	if len(usable) == 0 {
		e := outcome.New(outcome.NotRun, outcome.NoTarget, "no target of "+string(c.Request.Service)+" takes work")
		e.RetryAt = l.now().Add(time.Second)
		return fleet.Target{}, e
	}
	a := usable[rand.IntN(len(usable))]
	b := usable[rand.IntN(len(usable))]
	if b.cost() < a.cost() {
		a = b
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target, nil
}

// usable returns the targets that take work and were not tried, without those
// in doubt if sure is set.
func (l *peerList) usable(list []*peerEntry, c dispatch.Choice, sure bool) []*peerEntry {
	now := l.now()
	for _, e := range l.peers[c.Request.Service] {
		if e.usable(c.Tried, sure, now) {
			list = append(list, e)
		}
	}
	return list
}

func (e *peerEntry) usable(tried []fleet.DaemonID, sure bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.Incarnation == 0 || !e.target.State.TakesWork() {
		return false
	}
	if sure && now.Before(e.doubted) {
		return false
	}
	for _, id := range tried {
		if id == e.target.Daemon {
			return false
		}
	}
	return true
}

// cost is the expected work per slot.
func (e *peerEntry) cost() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := max(float64(e.load.Running+e.load.Queued), float64(e.mine.Load()))
	return work / max(1, float64(e.load.Slots))
}

// report takes a load report unless a later one is known.
func (e *peerEntry) report(load fleet.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if load.Incarnation < e.target.Incarnation {
		return
	}
	if load.Incarnation == e.target.Incarnation && load.Sequence < e.load.Sequence {
		return
	}
	e.load = load
	e.target.Incarnation, e.target.State, e.target.Slots = load.Incarnation, load.State, load.Slots
	e.doubted = time.Time{}
}

func (e *peerEntry) doubt(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doubted = now.Add(doubtFor)
}

// begin counts an attempt.
func (l *peerList) begin(_ *call.Request, t fleet.Target) {
	if e := l.byID[t.Daemon]; e != nil {
		e.mine.Add(1)
	}
}

// observe takes the result of an attempt.
func (l *peerList) observe(r dispatch.Result) {
	e := l.byID[r.Target.Daemon]
	if e == nil {
		return
	}
	e.mine.Add(-1)
	if r.HasLoad {
		e.report(r.Load)
	}
	if r.Reason == outcome.ConnectionLost || r.Reason == outcome.StaleAttempt {
		e.doubt(l.now())
	}
	if r.Reason == outcome.Draining {
		e.drained(r.Target.Incarnation)
	}
}

// drained stops new work until the next report.
func (e *peerEntry) drained(of fleet.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.Incarnation == of {
		e.target.State = fleet.Draining
	}
}
