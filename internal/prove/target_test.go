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

// target is the server beside a daemon. It outlives the daemon's processes.
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

// crash ends all requests at the target. They are answered once the other
// daemons were told.
func (p *process) crash() {
	t := &p.host.target
	t.mu.Lock()
	t.crashes++
	t.downUntil = time.Now().Add(p.host.world.between(time.Second, 3*time.Second))
	reported := make(chan struct{})
	t.reported = reported
	t.mu.Unlock()
	defer close(reported)
	p.poison.Crash(p.ctx)
}

// runOnTarget is the target's side of an attempt.
func (p *process) runOnTarget(c call) reply {
	w := p.host.world
	return p.run(c.poison, c.crashes, 20, func() reply {
		r := run{copy: c.copy, key: c.key, body: answerOf(c)}
		w.mu.Lock()
		w.runs = append(w.runs, r)
		w.mu.Unlock()
		return reply{outcome: outcome.Run, body: r.body, status: 200}
	})
}

// run hands a request to the target, which logs it when it starts. One in slow
// requests takes seconds.
func (p *process) run(f poison.Fingerprint, crashes bool, slow int, start func() reply) reply {
	w := p.host.world
	p.step()
	before, up, _ := p.host.target.state()
	if !up {
		return reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	}
	if w.intn(30) == 0 {
		return reply{outcome: outcome.NotRun, reason: outcome.Overloaded} // shed
	}
	running, err := p.poison.Begin(f)
	var refused *outcome.Error
	if errors.As(err, &refused) {
		return reply{outcome: refused.Outcome, reason: refused.Reason, hint: w.host(fleet.DaemonID(refused.Hint))}
	}
	answer := start()
	service := w.between(5*time.Millisecond, 100*time.Millisecond)
	if w.intn(slow) == 0 {
		service = w.between(time.Second, 20*time.Second)
	}
	if crashes {
		w.sleep(service / 8)
		w.mu.Lock()
		w.crashes[f]++
		w.mu.Unlock()
		p.crash()
	} else {
		w.sleep(service)
	}
	p.gate()
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

func (w *world) host(id fleet.DaemonID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// startPoison connects the list of poison requests with the other daemons. A
// new process asks them what they know; after that they tell each other once a
// second, as they do when they exchange members.
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
		for w.sleep(w.between(500*time.Millisecond, 1500*time.Millisecond)) {
			p.gate()
			other := w.hosts[w.intn(hosts)]
			reports := p.poison.Snapshot()
			if other != p.host {
				exchange(p, other, time.Second, func(q *process) bool {
					for _, r := range reports {
						q.poison.Apply(r)
					}
					return true
				})
			}
		}
	})
	for _, h := range w.hosts {
		if q := h.current(); q != nil && q != p {
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
				if _, ok := exchange(p, h, poison.ConfirmWithin/2, func(q *process) bool {
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

// poisonous sends one request that crashes targets again and again, and harmless
// ones beside it.
func (w *world) poisonous() {
	bad := call{crashes: true, rule: "None", print: 1}
	bad.poison = poison.FingerprintOf(service, "GET", "/crash", "", nil)
	w.spawn(func() {
		if !w.sleep(w.between(10*time.Second, 30*time.Second)) {
			return
		}
		for i := range 25 {
			w.sendCopy(bad)
			if i == 0 {
				for range 4 {
					w.spawn(func() { w.sendCopy(bad) })
				}
			}
			if !w.sleep(w.between(0, 4*time.Second)) {
				return
			}
		}
	})
	for i := range 400 {
		good := call{idempotent: true, rule: "None", print: 1}
		good.poison = poison.FingerprintOf(service, "GET", "/slots", "", fmt.Appendf(nil, "%d", i%20))
		at := w.between(5*time.Second, 130*time.Second)
		w.spawn(func() {
			if w.sleep(at) {
				w.sendCopy(good)
			}
		})
	}
}

// checkPoison bounds the targets lost to the poison request, and requires that
// harmless requests are never refused as poison, unless targets crash by
// themselves too.
func (w *world) checkPoison(most int, targetsCrash bool) {
	for f, n := range w.crashes {
		if n > most {
			w.problems = append(w.problems, fmt.Sprintf("poison request %x crashed %d targets", uint64(f), n))
		}
	}
	for _, c := range w.calls {
		if c.reply.reason == outcome.Poison && !c.crashes && !targetsCrash {
			w.problems = append(w.problems, fmt.Sprintf("harmless call %d was refused as poison", c.copy))
		}
	}
}
