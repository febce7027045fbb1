package admit

import "pollenscale/internal/mutant"

// nestedFirst is a mechanism that tests can switch off.
var nestedFirst = mutant.New("admit/nested-first")

// maxNestedRun is the number of nested requests that start in a row while other requests
// of the rank are queued. The next one is not nested, so that nested requests get at most
// 8 of 9 starts of their rank.
const maxNestedRun = 8

// ordinary returns the number of queued requests that are not nested.
func (k *rank) ordinary() int { return k.queued - len(k.nested.tickets) }

// ordinaryStarts returns the number of starts of the rank until n requests that are not
// nested have started. Nested requests that arrive meanwhile start first, at their usual
// share.
func (k *rank) ordinaryStarts(n int) float64 {
	if k.nestedShare == 0 && len(k.nested.tickets) == 0 {
		return float64(n)
	}
	most := float64(n) * (maxNestedRun + 1)
	if k.nestedShare >= 1 {
		return most
	}
	return min(float64(len(k.nested.tickets))+float64(n)/(1-k.nestedShare), most)
}

// nestedStarts returns the number of starts of the rank until n nested requests have
// started.
func (k *rank) nestedStarts(n int) float64 {
	return float64(n + min(k.ordinary(), (n+k.nestedRun-1)/maxNestedRun))
}

// startsUntil returns the number of starts of the rank until a new request has started.
func (k *rank) startsUntil(r Request, weight float64) float64 {
	if r.Nested {
		return k.nestedStarts(len(k.nested.tickets) + 1)
	}
	return k.ordinaryStarts(k.queuedAhead(r.Organisation, weight) + 1)
}

// startsBehind returns the number of starts of the rank until a new request of the kind
// of t has started behind all others of its kind.
func (k *rank) startsBehind(t *Ticket) float64 {
	if t.request.Nested {
		return k.nestedStarts(len(k.nested.tickets) + 1)
	}
	return k.ordinaryStarts(k.ordinary() + 1)
}

// startsToLast returns the number of starts of the rank until the last queued request of
// the kind of t has started.
func (k *rank) startsToLast(t *Ticket) float64 {
	if t.request.Nested {
		return k.nestedStarts(len(k.nested.tickets))
	}
	return k.ordinaryStarts(k.ordinary())
}

// observeNested records whether a started request was nested.
func (k *rank) observeNested(nested bool) {
	k.nestedShare -= k.nestedShare * shareWeight
	if nested {
		k.nestedShare += shareWeight
	}
}
