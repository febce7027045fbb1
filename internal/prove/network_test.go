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

// gatedTables wraps the table service so that calls are delayed and stop while the
// process is paused.
func (p *process) gatedTables(t store.Tables) store.Tables {
	return store.Tables{
		Transact: func(ctx context.Context, x store.Transaction) (store.Result, error) {
			p.randomDelay()
			r, err := t.Transact(ctx, x)
			p.randomDelay()
			return r, err
		},
		Read: func(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
			p.randomDelay()
			row, at, err := t.Read(ctx, table, key)
			p.randomDelay()
			return row, at, err
		},
		List: func(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
			p.randomDelay()
			rows, err := t.List(ctx, table, prefix, after, limit)
			p.randomDelay()
			return rows, err
		},
	}
}

func (p *process) gatedObjects(o store.Objects) store.Objects {
	return store.Objects{
		Put: func(ctx context.Context, id string, body io.Reader) (int64, error) {
			p.randomDelay()
			n, err := o.Put(ctx, id, body)
			p.randomDelay()
			return n, err
		},
		Get: func(ctx context.Context, id string) (io.ReadCloser, error) {
			p.randomDelay()
			return o.Get(ctx, id)
		},
		Delete: func(ctx context.Context, id string) error {
			p.randomDelay()
			return o.Delete(ctx, id)
		},
	}
}

// transmit simulates a message from one host to another. It reports whether the
// message arrives, which may be long after its sender timed out.
func (w *simulation) transmit(from, to int) bool {
	delay := w.randomDuration(time.Millisecond, 15*time.Millisecond)
	w.mu.Lock()
	late := w.random.Float64() < w.lateProbability
	lost := w.random.Float64() < w.lossProbability
	cut := w.partitions[[2]int{from, to}] > 0
	w.mu.Unlock()
	if from == to {
		return w.sleep(time.Millisecond / 2)
	}
	if late {
		delay = w.randomDuration(time.Second, 100*time.Second)
	}
	if lost || cut || !w.sleep(delay) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitions[[2]int{from, to}] == 0
}

// roundTrip sends a request to the process at another host and waits for the
// answer. It reports false when there is none in time.
func roundTrip[T any](p *process, to *host, timeout time.Duration, f func(*process) T) (T, bool) {
	w := p.host.world
	answers := make(chan T, 1)
	p.checkpoint()
	w.spawn(func() {
		if !w.transmit(p.host.index, to.index) {
			return
		}
		receiver := to.currentProcess()
		if receiver == nil {
			return
		}
		var answer T
		if !receiver.runAndWait(func() {
			receiver.checkpoint()
			answer = f(receiver)
		}) {
			return
		}
		if w.transmit(to.index, p.host.index) {
			answers <- answer
		}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var none T
	select {
	case answer := <-answers:
		p.checkpoint()
		return answer, true
	case <-timer.C:
		p.checkpoint()
		return none, false
	case <-p.ctx.Done():
		p.checkpoint() // does not return
		return none, false
	}
}

// addressedAttempt is an open attempt with the host to which it is sent.
type addressedAttempt struct {
	attempt.OpenAttempt
	to *host
}

// fencingTokens holds the highest token that a target's daemon has seen, by slot.
type fencingTokens struct {
	mu     sync.Mutex
	tokens map[lease.Name]lease.Token
}

func (f *fencingTokens) accept(slot lease.Name, token lease.Token) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.tokens[slot] {
		return false
	}
	f.tokens[slot] = token
	return true
}

// beginAttempt admits an attempt at most once, and refuses it if it was settled before
// or carries an old token.
func (p *process) beginAttempt(ref attempt.Ref, slot lease.Name, token lease.Token) (*attempt.Record, error) {
	record, err := p.attempts.Begin(ref, nil)
	if err != nil {
		return nil, err
	}
	p.randomDelay() // queued
	if slot != "" && !p.fencing.accept(slot, token) {
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

func (p *process) newAttempt(to *host) (addressedAttempt, bool) {
	receiver := to.currentProcess()
	if receiver == nil {
		return addressedAttempt{}, false
	}
	return addressedAttempt{p.sequencer.Open(fleet.Target{Daemon: to.id, Incarnation: receiver.incarnation}), to}, true
}

// sendAttempt sends work to another daemon, and settles the attempt if no answer
// arrives.
func (p *process) sendAttempt(to *host, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	a, ok := p.newAttempt(to)
	if !ok {
		return reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	}
	defer a.Close()
	return p.sendAndSettle(to, a.Ref, slot, token, f)
}

func (p *process) sendAndSettle(to *host, ref attempt.Ref, slot lease.Name, token lease.Token, f func(*process) reply) reply {
	p.randomDelay()
	answer, ok := roundTrip(p, to, attemptTimeout, func(receiver *process) reply {
		record, err := receiver.beginAttempt(ref, slot, token)
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
	return roundTrip(p, to, settleTimeout, func(receiver *process) attempt.Settlement {
		return receiver.attempts.Settle(ref)
	})
}
