package admit

import "pollenscale/internal/mutant"

// trialBesideForeign is a mechanism that mutation tests switch off.
var trialBesideForeign = mutant.New("admit/trial-beside-foreign")

// SetForeign sets the number of requests that occupy the target without a ticket, for example
// those of an earlier process of the daemon. They take slots away.
func (q *Queue) SetForeign(n int) {
	now := q.Now()
	q.mu.Lock()
	fewer := n < q.foreign
	q.foreign = max(0, n)
	if fewer {
		q.startNext(now)
	}
	q.unlockAndNotify()
}

// occupied returns the number of slots that are taken. A target that fails most requests has a
// single slot, which foreign requests do not take: only the answer to a request shows that the
// target works again. The caller holds the lock.
func (q *Queue) occupied() int {
	own := q.running + len(q.heldUntil)
	if q.limit.Failing() && !trialBesideForeign.Off() {
		return own
	}
	return own + q.foreign
}
