package prove

import (
	"context"
	"io"
	"sync"
	"time"

	"pollenscale/core/attempt"
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

// sent is an attempt at the target's daemon that it addresses.
type sent struct {
	attempt.OpenAttempt
	to *host
}

// fences are the highest tokens that a target's daemon has seen, by slot.
type fences struct {
	mu     sync.Mutex
	tokens map[lease.Name]lease.Token
}

func (f *fences) admit(slot lease.Name, token lease.Token) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.tokens[slot] {
		return false
	}
	f.tokens[slot] = token
	return true
}

// start admits an attempt once, unless it was settled before or carries an old
// token.
func (p *process) start(ref attempt.Ref, slot lease.Name, token lease.Token) (*attempt.Record, error) {
	record, err := p.attempts.Begin(ref, nil)
	if err != nil {
		return nil, err
	}
	p.step() // queued
	if slot != "" && !p.fences.admit(slot, token) {
		record.Finish(outcome.NotRun)
		return nil, outcome.New(outcome.NotRun, outcome.StaleAttempt, "old token")
	}
	return record, record.Start()
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

func (p *process) newAttempt(to *host) (sent, bool) {
	receiver := to.current()
	if receiver == nil {
		return sent{}, false
	}
	return sent{p.opener.Open(fleet.Target{Daemon: to.id, Incarnation: receiver.incarnation}), to}, true
}

// attempt sends work to another daemon and settles it when no answer comes.
func (p *process) attempt(to *host, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	a, ok := p.newAttempt(to)
	if !ok {
		return reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	}
	defer a.Close()
	return p.send(to, a.Ref, slot, token, f)
}

func (p *process) send(to *host, ref attempt.Ref, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	p.step()
	answer, ok := exchange(p, to, attemptTimeout, func(receiver *process) reply {
		record, err := receiver.start(ref, slot, token)
		if err != nil {
			return reply{outcome: outcome.Of(err), reason: outcome.StaleAttempt}
		}
		answer := f(receiver)
		record.Finish(answer.outcome)
		return answer
	})
	if ok {
		return answer
	}
	for range 3 {
		if s, ok := p.settle(to, ref); ok {
			if s.Outcome == outcome.NotRun {
				return reply{outcome: outcome.NotRun, reason: outcome.ConnectionLost}
			}
			break
		}
	}
	return reply{outcome: outcome.Unknown, reason: outcome.ConnectionLost}
}

func (p *process) settle(to *host, ref attempt.Ref) (attempt.Settlement, bool) {
	return exchange(p, to, settleTimeout, func(receiver *process) attempt.Settlement {
		return receiver.attempts.Settle(ref)
	})
}
