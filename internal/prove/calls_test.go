package prove

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"pollenscale/core/idempotency"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/policy"

	"github.com/google/uuid"
)

// call is one copy of a request, as a caller sent it to one daemon.
type call struct {
	id          int
	rule        policy.KeyRule
	key         idempotency.Key
	fingerprint idempotency.Fingerprint
	reply       reply
	// answered is false if the connection to the caller was lost.
	answered      bool
	idempotent    bool
	poison        poison.Fingerprint
	crashesTarget bool // crashes the target that runs it
}

// startCallers sends requests, and copies of them to other daemons immediately,
// within seconds and up to three minutes later.
func (w *simulation) startCallers(n int) {
	for i := range n {
		at := w.randomDuration(2*time.Second, faultPhase)
		w.spawn(func() {
			if w.sleep(at) {
				w.sendRequest(i)
			}
		})
	}
}

func (w *simulation) sendRequest(i int) {
	c := call{rule: policy.KeyStamped, fingerprint: 1}
	switch w.randomInt(8) {
	case 0, 1, 2:
		c.rule = policy.KeyRecorded
	case 3:
		c.rule = policy.KeyNone
	}
	if c.rule != policy.KeyNone {
		c.key = idempotency.Key{Organisation: "puente", Value: w.newKeyValue(c.rule, i)}
	}
	c.poison = poison.FingerprintOf(service, "POST", "/bookings", c.key.Value, fmt.Appendf(nil, "%d", i))
	w.sendCopy(c)
	for range w.randomInt(5) {
		again := c
		if w.randomInt(12) == 0 {
			again.fingerprint = 2 // the same key for another request
		}
		if w.randomInt(12) == 0 {
			again.key.Organisation = "merrimack" // the same value for another key
		}
		delays := []time.Duration{0, 20 * time.Millisecond, time.Second, 15 * time.Second, time.Minute, 2 * time.Minute}
		delay := delays[w.randomInt(len(delays))]
		delay += w.randomDuration(0, delay/2+time.Millisecond)
		if c.rule == policy.KeyNone {
			continue // a copy without a key is another request
		}
		w.spawn(func() {
			if w.sleep(delay) {
				w.sendCopy(again)
			}
		})
	}
}

// newKeyValue returns a key. The clocks of callers are wrong by up to a second,
// a few of them by up to a minute and a half.
func (w *simulation) newKeyValue(rule policy.KeyRule, i int) string {
	if rule == policy.KeyRecorded {
		return fmt.Sprintf("booking-%d", i)
	}
	stamp := time.Now().Add(w.randomDuration(-time.Second, time.Second))
	switch w.randomInt(20) {
	case 0:
		stamp = stamp.Add(w.randomDuration(-time.Minute, 0))
	case 1:
		stamp = stamp.Add(w.randomDuration(0, 90*time.Second))
	}
	return uuidV7At(stamp, i)
}

// uuidV7At returns a UUIDv7 with the given time.
func uuidV7At(stamp time.Time, i int) string {
	var id uuid.UUID
	ms := stamp.UnixMilli()
	for b := range 6 {
		id[b] = byte(ms >> (40 - 8*b))
	}
	id[6], id[8] = 0x70, 0x80
	for b := range 4 {
		id[15-b] = byte(i >> (8 * b))
	}
	id[9] = byte(i * 37) // spreads the keys over the slots
	return id.String()
}

// sendCopy sends a request to a random daemon and records the answer.
func (w *simulation) sendCopy(c call) {
	entry := w.hosts[w.randomInt(hostCount)].currentProcess()
	sent := &c
	w.mu.Lock()
	sent.id = len(w.calls) + 1
	w.calls = append(w.calls, sent)
	w.mu.Unlock()
	if entry == nil || !w.sleep(w.randomDuration(time.Millisecond, 5*time.Millisecond)) {
		return
	}
	var answer reply
	var mu sync.Mutex
	if !entry.runAndWait(func() {
		a := entry.handle(c)
		mu.Lock()
		defer mu.Unlock()
		answer = a
	}) {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	sent.reply, sent.answered = answer, true
}

// handle processes a call at the daemon that received it.
func (p *process) handle(c call) reply {
	p.randomDelay()
	if c.rule == policy.KeyNone {
		return p.dispatch(c, nil)
	}
	for range 2 {
		owner := p.findOwner(c.key)
		if owner == nil {
			break
		}
		var answer reply
		if owner == p.host {
			answer = p.handleAsOwner(c)
		} else {
			// The forwarded call is an attempt too: a copy that arrives after the
			// sender timed out must not start.
			answer = p.sendAttempt(owner, "", 0, func(receiver *process) reply { return receiver.handleAsOwner(c) })
		}
		if answer.outcome != outcome.NotRun || answer.reason == outcome.KeyReused {
			return answer
		}
		if answer.reason != outcome.ConnectionLost && answer.reason != outcome.StaleAttempt {
			return answer
		}
	}
	return reply{outcome: outcome.Unknown, reason: outcome.KeyUnknown}
}

// findOwner returns a host that holds the lease of the key's slot, or in one of ten
// cases a random host, as stale membership would.
func (p *process) findOwner(key idempotency.Key) *host {
	w := p.host.world
	name := idempotency.LeaseName(service, key.Slot())
	if w.randomInt(10) == 0 {
		return w.hosts[w.randomInt(hostCount)]
	}
	var owners []*host
	for _, h := range w.hosts {
		if q := h.currentProcess(); q != nil {
			if _, ok := q.holder.Grant(name); ok {
				owners = append(owners, h)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	return owners[w.randomInt(len(owners))]
}

// handleAsOwner processes a keyed call as the owner of its slot.
func (p *process) handleAsOwner(c call) reply {
	ctx, cancel := context.WithTimeout(p.ctx, 5*time.Second)
	defer cancel()
	table := p.tables[idempotency.LeaseName(service, c.key.Slot())]
	claim, answer, err := table.Begin(ctx, c.rule, c.key, c.fingerprint)
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return reply{outcome: refused.Outcome, reason: refused.Reason}
	case answer != nil:
		return reply{outcome: outcome.Run, body: string(answer.Body)}
	}
	p.randomDelay()
	result := p.dispatch(c, claim)
	p.randomDelay()
	switch result.outcome {
	case outcome.NotRun:
		claim.Abort()
	case outcome.Run, outcome.Unknown:
		claim.Finish(result.outcome, &idempotency.Response{Status: 200, Body: []byte(result.body)})
	}
	return result
}

// dispatch makes one attempt at a time, and retries only after a definite
// 'not run', or if the call is idempotent.
func (p *process) dispatch(c call, claim *idempotency.Claim) reply {
	w := p.host.world
	result := reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	var slot lease.Name
	var token lease.Token
	if claim != nil {
		slot, token = claim.FencingToken()
	}
	to := w.hosts[w.randomInt(hostCount)]
	mayHaveRun := false
	for range 3 {
		result = p.sendAttempt(to, slot, token, func(receiver *process) reply { return receiver.runCall(c) })
		mayHaveRun = mayHaveRun || result.outcome == outcome.Unknown
		if mayHaveRun && result.outcome == outcome.NotRun {
			result.outcome = outcome.Unknown // an earlier attempt may have run
		}
		again := result.outcome == outcome.NotRun || c.idempotent && result.outcome == outcome.Unknown
		if !again || result.reason == outcome.Poison {
			return result
		}
		to = w.hosts[w.randomInt(hostCount)]
		if result.hint != nil {
			to = result.hint
		}
	}
	return result
}

// checkCalls compares the answers to callers with the executions at targets.
func (w *simulation) checkCalls() {
	byKey := map[idempotency.Key][]execution{}
	byCopy := map[int]int{}
	for _, r := range w.executions {
		if r.callID == 0 {
			continue
		}
		byCopy[r.callID]++
		if r.key.Value != "" {
			byKey[r.key] = append(byKey[r.key], r)
		}
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			w.violations = append(w.violations, fmt.Sprintf("key %v ran %d times", key, len(runs)))
		}
	}
	for _, c := range w.calls {
		if byCopy[c.id] > 1 && !c.idempotent {
			w.violations = append(w.violations, fmt.Sprintf("call %d ran %d times", c.id, byCopy[c.id]))
		}
		if c.answered {
			w.checkAnswer(c, byCopy[c.id], byKey[c.key])
		}
	}
}

func (w *simulation) checkAnswer(c *call, ran int, runs []execution) {
	switch {
	case c.reply.outcome == outcome.NotRun && ran > 0:
		w.violations = append(w.violations, fmt.Sprintf("call %d was told 'not run' (%s) and ran", c.id, c.reply.reason))
	case c.reply.outcome != outcome.Run || c.reply.body == "":
	case c.rule == policy.KeyNone && c.reply.body != expectedBody(*c):
		w.violations = append(w.violations, fmt.Sprintf("call %d got the answer %q", c.id, c.reply.body))
	case c.rule != policy.KeyNone && !strings.Contains(c.reply.body, fmt.Sprintf("request %d ", c.fingerprint)):
		w.violations = append(w.violations, fmt.Sprintf("call %d got the answer to another request: %q", c.id, c.reply.body))
	case c.rule != policy.KeyNone && (len(runs) == 0 || runs[0].body != c.reply.body):
		w.violations = append(w.violations, fmt.Sprintf("call %d with key %v got the answer %q", c.id, c.key, c.reply.body))
	}
}

// expectedBody returns the answer of the target to a call.
func expectedBody(c call) string {
	return fmt.Sprintf("%s %s request %d copy %d", c.key.Organisation, c.key.Value, c.fingerprint, c.id)
}
