package prove

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
)

// target is the server beside a daemon. It survives restarts of the daemon.
type target struct {
	mu        sync.Mutex
	crashes   int
	downUntil time.Time
	reported  chan struct{} // closed when the last crash was reported
}

func (t *target) state() (crashes int, up bool, reported chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes, !time.Now().Before(t.downUntil), t.reported
}

// crashTarget fails all requests at the target. They are answered once the other
// daemons have the crash report.
func (p *process) crashTarget() {
	t := &p.host.target
	t.mu.Lock()
	t.crashes++
	t.downUntil = time.Now().Add(p.host.world.randomDuration(time.Second, 3*time.Second))
	reported := make(chan struct{})
	t.reported = reported
	t.mu.Unlock()
	defer close(reported)
	p.poison.Crash(p.ctx)
}

// runCall is the target's side of an attempt.
func (p *process) runCall(c call) reply {
	w := p.host.world
	return p.runRequest(c.poison, c.crashesTarget, 20, func() reply {
		r := execution{callID: c.id, key: c.key, body: expectedBody(c)}
		w.mu.Lock()
		w.executions = append(w.executions, r)
		w.mu.Unlock()
		return reply{outcome: outcome.Run, body: r.body, status: 200}
	})
}

// runRequest runs a request on the target, which records it at its start. One in slow
// requests takes seconds.
func (p *process) runRequest(f poison.Fingerprint, crashes bool, slow int, start func() reply) reply {
	w := p.host.world
	p.randomDelay()
	before, up, _ := p.host.target.state()
	if !up {
		return reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	}
	if w.randomInt(30) == 0 {
		return reply{outcome: outcome.NotRun, reason: outcome.Overloaded} // shed
	}
	begun := time.Now()
	running, err := p.poison.Begin(f)
	var refused *outcome.Error
	if errors.As(err, &refused) {
		return reply{outcome: refused.Outcome, reason: refused.Reason, hint: w.hostByID(fleet.DaemonID(refused.Hint))}
	}
	answer := start()
	service := w.randomDuration(5*time.Millisecond, 100*time.Millisecond)
	if w.randomInt(slow) == 0 {
		service = w.randomDuration(time.Second, 20*time.Second)
	}
	if crashes {
		w.sleep(service / 8)
		w.recordCrash(f, begun)
		p.crashTarget()
		if p.ctx.Err() == nil { // a process that has ended cannot report
			w.recordCrashReport(f)
		}
	} else {
		w.sleep(service)
	}
	p.checkpoint()
	if after, _, reported := p.host.target.state(); after != before {
		select {
		case <-reported:
		case <-time.After(time.Second):
		}
		return reply{outcome: outcome.Unknown, reason: outcome.TargetCrashed}
	}
	running.End(p.ctx, true)
	return answer
}

func (w *simulation) hostByID(id fleet.DaemonID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// startPoison connects the list of poison requests with those of the other
// daemons. A new process fetches their reports; after that daemons exchange reports
// once a second, as with the member list.
func (p *process) startPoison() {
	w := p.host.world
	members := make([]fleet.DaemonID, len(w.hosts))
	for i, h := range w.hosts {
		members[i] = h.id
	}
	p.poison = poison.New(p.host.id,
		poison.WithMembers(func() []fleet.DaemonID { return members }),
		poison.WithSend(p.sendReport))
	p.spawn(func() {
		for w.sleep(w.randomDuration(500*time.Millisecond, 1500*time.Millisecond)) {
			p.checkpoint()
			other := w.hosts[w.randomInt(hostCount)]
			reports := p.poison.Snapshot()
			if other != p.host {
				roundTrip(p, other, time.Second, func(q *process) bool {
					for _, r := range reports {
						q.poison.Apply(r)
					}
					return true
				})
			}
		}
	})
	for _, h := range w.hosts {
		if q := h.currentProcess(); q != nil && q != p {
			for _, r := range q.poison.Snapshot() {
				p.poison.Apply(r)
			}
		}
	}
}

// sendReport passes a report to all other daemons and waits for their
// confirmations or the end of ctx.
func (p *process) sendReport(ctx context.Context, r poison.Report) {
	w := p.host.world
	var confirmed sync.WaitGroup
	for _, h := range w.hosts {
		if h == p.host {
			continue
		}
		confirmed.Add(1)
		p.spawn(func() {
			defer confirmed.Done()
			for range 2 {
				if _, ok := roundTrip(p, h, poison.ConfirmWithin/2, func(q *process) bool {
					q.poison.Apply(r)
					return true
				}); ok {
					return
				}
			}
		})
	}
	done := make(chan struct{})
	w.spawn(func() {
		confirmed.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// startPoisonCallers repeatedly sends a request that crashes targets, and harmless
// requests at the same time.
func (w *simulation) startPoisonCallers() {
	bad := call{crashesTarget: true, rule: "None", fingerprint: 1}
	bad.poison = poison.FingerprintOf(service, "GET", "/crash", "", nil)
	w.spawn(func() {
		if !w.sleep(w.randomDuration(10*time.Second, 30*time.Second)) {
			return
		}
		for i := range 25 {
			w.sendCopy(bad)
			if i == 0 {
				for range 4 {
					w.spawn(func() { w.sendCopy(bad) })
				}
			}
			if !w.sleep(w.randomDuration(0, 4*time.Second)) {
				return
			}
		}
	})
	for i := range 400 {
		good := call{idempotent: true, rule: "None", fingerprint: 1}
		good.poison = poison.FingerprintOf(service, "GET", "/slots", "", fmt.Appendf(nil, "%d", i%20))
		at := w.randomDuration(5*time.Second, 130*time.Second)
		w.spawn(func() {
			if w.sleep(at) {
				w.sendCopy(good)
			}
		})
	}
}

// poisonCrashes are the crashes of targets that run a poison request.
type poisonCrashes struct {
	// begun holds when each run that crashed its target began.
	begun []time.Time
	// reportedAt is when the first crash had been reported, zero before that.
	reportedAt time.Time
}

// beforeReport returns the number of crashes by runs that began before a daemon could know
// that the request crashes targets.
func (c *poisonCrashes) beforeReport() int {
	n := 0
	for _, at := range c.begun {
		if c.reportedAt.IsZero() || at.Before(c.reportedAt) {
			n++
		}
	}
	return n
}

func (w *simulation) recordCrash(f poison.Fingerprint, begun time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashes[f] == nil {
		w.crashes[f] = &poisonCrashes{}
	}
	w.crashes[f].begun = append(w.crashes[f].begun, begun)
}

func (w *simulation) recordCrashReport(f poison.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.crashes[f]; c.reportedAt.IsZero() {
		c.reportedAt = time.Now()
	}
}

// checkPoison bounds the number of targets that the poison request crashes after the first
// crash has been reported, and requires that harmless requests are never refused as poison, unless targets also
// crash for other reasons.
func (w *simulation) checkPoison(mostAfterReport int, targetsCrash bool) {
	for f, c := range w.crashes {
		if n, early := len(c.begun), c.beforeReport(); n > early+mostAfterReport {
			w.violations = append(w.violations, fmt.Sprintf("poison request %x crashed %d targets, %d of them by runs that began before the first report", uint64(f), n, early))
		}
	}
	for _, c := range w.calls {
		if c.reply.reason == outcome.Poison && !c.crashesTarget && !targetsCrash {
			w.violations = append(w.violations, fmt.Sprintf("harmless call %d was refused as poison", c.id))
		}
	}
}
