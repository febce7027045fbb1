package prove

import (
	"context"
	"io"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
)

// gated passes calls to the store through the pauses of the process and through
// the network, which delays them.
func (p *process) gated(t store.Tables) store.Tables {
	return store.Tables{
		Transact: func(ctx context.Context, x store.Transaction) (store.Result, error) {
			p.step()
			r, err := t.Transact(ctx, x)
			p.step()
			return r, err
		},
		Read: func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
			p.step()
			row, at, err := t.Read(ctx, table, key)
			p.step()
			return row, at, err
		},
		List: func(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
			p.step()
			rows, err := t.List(ctx, table, prefix, after, limit)
			p.step()
			return rows, err
		},
	}
}

func (p *process) gatedObjects(o store.Objects) store.Objects {
	return store.Objects{
		Put: func(ctx context.Context, id string, body io.Reader) (int64, error) {
			p.step()
			n, err := o.Put(ctx, id, body)
			p.step()
			return n, err
		},
		Get: func(ctx context.Context, id string) (io.ReadCloser, error) {
			p.step()
			return o.Get(ctx, id)
		},
		Delete: func(ctx context.Context, id string) error {
			p.step()
			return o.Delete(ctx, id)
		},
	}
}

// travel lets a message pass from one host to another. It reports whether the
// message arrives, which may be long after its sender gave up.
func (w *world) travel(from, to int) bool {
	delay := w.between(time.Millisecond, 15*time.Millisecond)
	w.mu.Lock()
	late := w.random.Float64() < w.delayLong
	lost := w.random.Float64() < w.loseMessages
	cut := w.cuts[[2]int{from, to}] > 0
	w.mu.Unlock()
	if from == to {
		return w.sleep(time.Millisecond / 2)
	}
	if late {
		delay = w.between(time.Second, 100*time.Second)
	}
	if lost || cut || !w.sleep(delay) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]int{from, to}] == 0
}

// exchange sends a request to the process at another host and waits for the
// answer. It reports false when there is none in time.
func exchange[T any](p *process, to *host, timeout time.Duration, f func(*process) T) (T, bool) {
	w := p.host.world
	answers := make(chan T, 1)
	p.gate()
	w.spawn(func() {
		if !w.travel(p.host.index, to.index) {
			return
		}
		receiver := to.current()
		if receiver == nil {
			return
		}
		var answer T
		if !receiver.do(func() {
			receiver.gate()
			answer = f(receiver)
		}) {
			return
		}
		if w.travel(to.index, p.host.index) {
			answers <- answer
		}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var none T
	select {
	case answer := <-answers:
		p.gate()
		return answer, true
	case <-timer.C:
		p.gate()
		return none, false
	case <-p.ctx.Done():
		p.gate() // does not return
		return none, false
	}
}

// attemptID identifies an attempt and the incarnation that it addresses.
type attemptID struct {
	Daemon            fleet.DaemonID
	Incarnation       fleet.Incarnation
	Sequence          uint64
	Target            fleet.DaemonID
	TargetIncarnation fleet.Incarnation
}

// attempts stands in for core/attempt: states and tombstones, without bounds.
type attempts struct {
	mu     sync.Mutex
	states map[attemptID]string
	tokens map[lease.Name]lease.Token
}

func newAttempts() *attempts {
	return &attempts{states: map[attemptID]string{}, tokens: map[lease.Name]lease.Token{}}
}

// start admits an attempt once, unless it was settled before or carries an old
// token.
func (a *attempts) start(p *process, id attemptID, slot lease.Name, token lease.Token) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id.Target != p.host.id || id.TargetIncarnation != p.incarnation || a.states[id] != "" || token < a.tokens[slot] {
		return false
	}
	if slot != "" {
		a.tokens[slot] = token
	}
	a.states[id] = "Running"
	return true
}

func (a *attempts) finish(id attemptID, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.states[id] = state
}

// settle gives a binding answer.
func (a *attempts) settle(p *process, id attemptID) (o outcome.Outcome, running bool) {
	if id.Target != p.host.id || id.TargetIncarnation != p.incarnation {
		return outcome.Unknown, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.states[id] {
	case "", "NotRun":
		a.states[id] = "NotRun"
		return outcome.NotRun, false
	case "Running":
		return outcome.Run, true
	}
	return outcome.Run, false
}

// reply is the answer to an attempt.
type reply struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	body    string
	status  int
	hint    *host
}

const (
	attemptTimeout = 12 * time.Second
	settleTimeout  = 2 * time.Second
)

func (p *process) newAttempt(to *host) (attemptID, bool) {
	receiver := to.current()
	if receiver == nil {
		return attemptID{}, false
	}
	return attemptID{p.host.id, p.incarnation, p.nextSequence(), to.id, receiver.incarnation}, true
}

// attempt sends work to another daemon and settles it when no answer comes.
func (p *process) attempt(to *host, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	id, ok := p.newAttempt(to)
	if !ok {
		return reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	}
	return p.send(to, id, slot, token, f)
}

func (p *process) send(to *host, id attemptID, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	p.step()
	answer, ok := exchange(p, to, attemptTimeout, func(receiver *process) reply {
		if !receiver.attempts.start(receiver, id, slot, token) {
			return reply{outcome: outcome.NotRun, reason: outcome.StaleAttempt}
		}
		answer := f(receiver)
		state := "Finished"
		if answer.outcome == outcome.NotRun {
			state = "NotRun"
		}
		receiver.attempts.finish(id, state)
		return answer
	})
	if ok {
		return answer
	}
	for range 3 {
		if o, _, ok := p.settle(to, id); ok {
			if o == outcome.NotRun {
				return reply{outcome: outcome.NotRun, reason: outcome.ConnectionLost}
			}
			break
		}
	}
	return reply{outcome: outcome.Unknown, reason: outcome.ConnectionLost}
}

func (p *process) settle(to *host, id attemptID) (outcome.Outcome, bool, bool) {
	type settled struct {
		outcome outcome.Outcome
		running bool
	}
	s, ok := exchange(p, to, settleTimeout, func(receiver *process) settled {
		o, running := receiver.attempts.settle(receiver, id)
		return settled{o, running}
	})
	return s.outcome, s.running, ok
}
