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
	copy  int
	rule  policy.KeyRule
	key   idempotency.Key
	print idempotency.Fingerprint
	reply reply
	// answered is false when the connection to the caller broke.
	answered   bool
	idempotent bool
	poison     poison.Fingerprint
	crashes    bool // crashes the target that runs it
}

// callers send requests, and copies of them to other daemons at once, within
// seconds and about a minute later.
func (w *world) callers(n int) {
	for i := range n {
		at := w.between(2*time.Second, duration)
		w.spawn(func() {
			if w.sleep(at) {
				w.request(i)
			}
		})
	}
}

func (w *world) request(i int) {
	c := call{rule: policy.KeyStamped, print: 1}
	switch w.intn(8) {
	case 0, 1, 2:
		c.rule = policy.KeyRecorded
	case 3:
		c.rule = policy.KeyNone
	}
	if c.rule != policy.KeyNone {
		c.key = idempotency.Key{Organisation: "puente", Value: w.newKey(c.rule, i)}
	}
	c.poison = poison.FingerprintOf(service, "POST", "/bookings", c.key.Value, fmt.Appendf(nil, "%d", i))
	w.sendCopy(c)
	for range w.intn(5) {
		again := c
		if w.intn(12) == 0 {
			again.print = 2 // the same key for another request
		}
		if w.intn(12) == 0 {
			again.key.Organisation = "merrimack" // the same value for another key
		}
		delays := []time.Duration{0, 20 * time.Millisecond, time.Second, 15 * time.Second, time.Minute, 2 * time.Minute}
		delay := delays[w.intn(len(delays))]
		delay += w.between(0, delay/2+time.Millisecond)
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

// newKey returns a key. The clocks of callers are wrong by up to a second, a
// few by far more.
func (w *world) newKey(rule policy.KeyRule, i int) string {
	if rule == policy.KeyRecorded {
		return fmt.Sprintf("booking-%d", i)
	}
	stamp := time.Now().Add(w.between(-time.Second, time.Second))
	switch w.intn(20) {
	case 0:
		stamp = stamp.Add(w.between(-time.Minute, 0))
	case 1:
		stamp = stamp.Add(w.between(0, 90*time.Second))
	}
	return stampedKey(stamp, i)
}

// stampedKey returns a UUIDv7 with the given time.
func stampedKey(stamp time.Time, i int) string {
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

// sendCopy sends a request to a random daemon and notes the answer.
func (w *world) sendCopy(c call) {
	entry := w.hosts[w.intn(hosts)].current()
	sent := &c
	w.mu.Lock()
	sent.copy = len(w.calls) + 1
	w.calls = append(w.calls, sent)
	w.mu.Unlock()
	if entry == nil || !w.sleep(w.between(time.Millisecond, 5*time.Millisecond)) {
		return
	}
	var answer reply
	var mu sync.Mutex
	if !entry.do(func() {
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

// handle is the entry side of a call.
func (p *process) handle(c call) reply {
	p.step()
	if c.rule == policy.KeyNone {
		return p.dispatch(c, nil)
	}
	for range 2 {
		owner := p.owner(c.key)
		if owner == nil {
			break
		}
		var answer reply
		if owner == p.host {
			answer = p.own(c)
		} else {
			// The forwarded call is an attempt too: a copy that arrives after the
			// entry gave up must not start.
			answer = p.attempt(owner, "", 0, func(receiver *process) reply { return receiver.own(c) })
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

// owner returns a host that believes to own the key's slot; now and then
// membership is wrong.
func (p *process) owner(key idempotency.Key) *host {
	w := p.host.world
	name := idempotency.LeaseName(service, key.Slot())
	if w.intn(10) == 0 {
		return w.hosts[w.intn(hosts)]
	}
	var owners []*host
	for _, h := range w.hosts {
		if q := h.current(); q != nil {
			if _, ok := q.holder.Grant(name); ok {
				owners = append(owners, h)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	return owners[w.intn(len(owners))]
}

// own decides about a keyed call as the owner of its slot.
func (p *process) own(c call) reply {
	ctx, cancel := context.WithTimeout(p.ctx, 5*time.Second)
	defer cancel()
	table := p.tables[idempotency.LeaseName(service, c.key.Slot())]
	claim, answer, err := table.Begin(ctx, c.rule, c.key, c.print)
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return reply{outcome: refused.Outcome, reason: refused.Reason}
	case answer != nil:
		return reply{outcome: outcome.Run, body: string(answer.Body)}
	}
	p.step()
	result := p.dispatch(c, claim)
	p.step()
	switch result.outcome {
	case outcome.NotRun:
		claim.Abort()
	case outcome.Run, outcome.Unknown:
		claim.Finish(result.outcome, &idempotency.Response{Status: 200, Body: []byte(result.body)})
	}
	return result
}

// dispatch makes one attempt at a time, and another one only after a binding
// 'not run', or if the call is idempotent.
func (p *process) dispatch(c call, claim *idempotency.Claim) reply {
	w := p.host.world
	result := reply{outcome: outcome.NotRun, reason: outcome.NoTarget}
	var slot lease.Name
	var token lease.Token
	if claim != nil {
		slot, token = claim.Fence()
	}
	to := w.hosts[w.intn(hosts)]
	mayHaveRun := false
	for range 3 {
		result = p.attempt(to, slot, token, func(receiver *process) reply { return receiver.runOnTarget(c) })
		mayHaveRun = mayHaveRun || result.outcome == outcome.Unknown
		if mayHaveRun && result.outcome == outcome.NotRun {
			result.outcome = outcome.Unknown // an earlier attempt may have run
		}
		again := result.outcome == outcome.NotRun || c.idempotent && result.outcome == outcome.Unknown
		if !again || result.reason == outcome.Poison {
			return result
		}
		to = w.hosts[w.intn(hosts)]
		if result.hint != nil {
			to = result.hint
		}
	}
	return result
}

// checkCalls compares what callers were told with what ran.
func (w *world) checkCalls() {
	byKey := map[idempotency.Key][]run{}
	byCopy := map[int]int{}
	for _, r := range w.runs {
		if r.copy == 0 {
			continue
		}
		byCopy[r.copy]++
		if r.key.Value != "" {
			byKey[r.key] = append(byKey[r.key], r)
		}
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			w.problems = append(w.problems, fmt.Sprintf("key %v ran %d times", key, len(runs)))
		}
	}
	for _, c := range w.calls {
		if byCopy[c.copy] > 1 && !c.idempotent {
			w.problems = append(w.problems, fmt.Sprintf("call %d ran %d times", c.copy, byCopy[c.copy]))
		}
		if c.answered {
			w.checkAnswer(c, byCopy[c.copy], byKey[c.key])
		}
	}
}

func (w *world) checkAnswer(c *call, ran int, runs []run) {
	switch {
	case c.reply.outcome == outcome.NotRun && ran > 0:
		w.problems = append(w.problems, fmt.Sprintf("call %d was told 'not run' (%s) and ran", c.copy, c.reply.reason))
	case c.reply.outcome != outcome.Run || c.reply.body == "":
	case c.rule == policy.KeyNone && c.reply.body != answerOf(*c):
		w.problems = append(w.problems, fmt.Sprintf("call %d got the answer %q", c.copy, c.reply.body))
	case c.rule != policy.KeyNone && !strings.Contains(c.reply.body, fmt.Sprintf("request %d ", c.print)):
		w.problems = append(w.problems, fmt.Sprintf("call %d got the answer to another request: %q", c.copy, c.reply.body))
	case c.rule != policy.KeyNone && (len(runs) == 0 || runs[0].body != c.reply.body):
		w.problems = append(w.problems, fmt.Sprintf("call %d with key %v got the answer %q", c.copy, c.key, c.reply.body))
	}
}

// answerOf returns the answer of the target to a call.
func answerOf(c call) string {
	return fmt.Sprintf("%s %s request %d copy %d", c.key.Organisation, c.key.Value, c.print, c.copy)
}
