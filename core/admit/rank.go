package admit

import (
	"math"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// pruneThreshold is the number of flows that a rank keeps before it looks for
// inactive ones to remove.
const pruneThreshold = 64

// rank holds the queued requests of one rank, by organisation.
type rank struct {
	worth       float64
	floor       float64
	credit      float64 // floor credit in seconds of slot time
	startShare  float64 // moving average of its share of starts
	serviceTime float64 // moving average of the service time in seconds
	deviation   float64 // mean deviation of the service time in seconds
	queued      int
	nested      flow    // queued nested requests of all organisations
	nestedRun   int     // nested requests started in a row while others were queued
	nestedShare float64 // moving average of the nested requests' share of its starts
	lateness    lateness
	virtualTime float64 // start tag of the request served last
	flows       map[fleet.Organisation]*flow
	active      []*flow // flows with queued requests
}

// flow is the queue of one organisation within a rank. Flows are scheduled by
// start-time fair queueing: startTag is the virtual start time of the next request.
type flow struct {
	weight   float64
	startTag float64
	tickets  []*Ticket // by deadline
	lateness lateness
}

// lateness tells whether requests start in time for their latency objective.
type lateness struct {
	// since is when requests began to start too late for their latency objective. A
	// start with at least half of the slack left resets it to zero.
	since time.Time
}

func newRank() *rank {
	return &rank{flows: make(map[fleet.Organisation]*flow), nested: flow{weight: 1}}
}

// observe records the service time of a request.
func (k *rank) observe(took float64) {
	if k.serviceTime == 0 {
		k.serviceTime = took
		return
	}
	k.deviation += (math.Abs(took-k.serviceTime) - k.deviation) * serviceTimeWeight
	k.serviceTime += (took - k.serviceTime) * serviceTimeWeight
}

// queuedAhead returns the number of queued requests that are served before a new
// request of an organisation: its own, and from each other organisation as many as
// its weight allows in the same time. While requests start late, organisations whose
// queue is shorter than that are expected to refill it: without this, a third of the
// refusals under twice the demand of 21 organisations came after a wait.
func (k *rank) queuedAhead(o fleet.Organisation, weight float64) int {
	own := 0
	if f := k.flows[o]; f != nil {
		own = len(f.tickets)
	}
	count := own
	for _, f := range k.active {
		if f != k.flows[o] {
			allowed := int(math.Ceil(float64(own+1) * f.weight / weight))
			if own == 0 || k.lateness.since.IsZero() {
				allowed = min(allowed, len(f.tickets))
			}
			count += allowed
		}
	}
	return count
}

// push inserts a ticket into the queue of its organisation, or into that of nested
// requests, by deadline, behind tickets with an equal deadline.
func (k *rank) push(t *Ticket, weight float64) {
	t.flow = &k.nested
	if !t.request.Nested {
		t.flow = k.activate(t.request.Organisation, weight)
	}
	f := t.flow
	at := len(f.tickets)
	for at > 0 && t.before(f.tickets[at-1]) {
		at--
	}
	f.tickets = slices.Insert(f.tickets, at, t)
	k.queued++
}

// activate returns the flow of an organisation, which is about to get a ticket.
func (k *rank) activate(o fleet.Organisation, weight float64) *flow {
	f := k.flows[o]
	if f == nil {
		k.pruneFlows()
		f = &flow{}
		k.flows[o] = f
	}
	f.weight = weight
	if len(f.tickets) == 0 {
		f.startTag = max(f.startTag, k.virtualTime)
		k.active = append(k.active, f)
	}
	return f
}

// pruneFlows removes flows without queued requests whose start tag is not ahead of
// the virtual time: a new flow would get the same tag.
func (k *rank) pruneFlows() {
	if len(k.flows) < pruneThreshold+2*len(k.active) {
		return
	}
	for o, f := range k.flows {
		if len(f.tickets) == 0 && f.startTag <= k.virtualTime {
			delete(k.flows, o)
		}
	}
}

// before reports whether t has an earlier deadline than u.
func (t *Ticket) before(u *Ticket) bool {
	if t.request.Deadline.IsZero() {
		return false
	}
	return u.request.Deadline.IsZero() || t.request.Deadline.Before(u.request.Deadline)
}

// pop removes and returns the ticket to serve next: the first nested one, otherwise the
// first of the flow with the lowest start tag.
func (k *rank) pop() *Ticket {
	if len(k.nested.tickets) > 0 && (len(k.active) == 0 || k.nestedRun < maxNestedRun) {
		if len(k.active) > 0 {
			k.nestedRun++
		}
		t := k.nested.tickets[0]
		k.removeAt(&k.nested, 0)
		return t
	}
	k.nestedRun = 0
	f := k.active[0]
	for _, g := range k.active[1:] {
		if g.startTag < f.startTag {
			f = g
		}
	}
	t := f.tickets[0]
	k.virtualTime = f.startTag
	f.startTag += max(k.serviceTime, 1e-6) / f.weight
	k.removeAt(f, 0)
	return t
}

// last returns the ticket to refuse first: the last of the flow with the longest
// queue relative to its weight. Nested requests come last.
func (k *rank) last() *Ticket {
	if len(k.active) == 0 {
		return k.nested.tickets[len(k.nested.tickets)-1]
	}
	var f *flow
	for _, g := range k.active {
		if f == nil || float64(len(g.tickets))/g.weight > float64(len(f.tickets))/f.weight {
			f = g
		}
	}
	return f.tickets[len(f.tickets)-1]
}

func (k *rank) remove(t *Ticket) {
	if i := slices.Index(t.flow.tickets, t); i >= 0 {
		k.removeAt(t.flow, i)
	}
}

// removeAt removes the i-th ticket of a flow.
func (k *rank) removeAt(f *flow, i int) {
	f.tickets = slices.Delete(f.tickets, i, i+1)
	k.queued--
	if len(f.tickets) == 0 {
		k.active = slices.DeleteFunc(k.active, func(g *flow) bool { return g == f })
	}
}

// observeStart records how long a request waited before it started, compared with
// its slack to the latency objective. It counts for the rank and for the organisation:
// requests of others that start early do not show that those of an organisation with a
// long queue do.
func (k *rank) observeStart(t *Ticket, now time.Time) {
	waited, slack := now.Sub(t.arrived), t.slack()
	k.lateness.observe(waited, slack, now)
	if f := k.flows[t.request.Organisation]; f != nil {
		f.lateness.observe(waited, slack, now)
	}
}

// latenessByOrganisation is a mechanism that tests can switch off.
var latenessByOrganisation = mutant.New("admit/lateness-by-organisation")

// overloaded reports whether requests of the rank or of the organisation start too late
// for their latency objective.
func (k *rank) overloaded(o fleet.Organisation, now time.Time) bool {
	f := k.flows[o]
	return k.lateness.lasts(now) || f != nil && f.lateness.lasts(now) && !latenessByOrganisation.Off()
}

func (l *lateness) observe(waited, slack time.Duration, now time.Time) {
	switch {
	case slack == 0:
	case waited < slack/2:
		l.since = time.Time{}
	case waited > slack && l.since.IsZero():
		l.since = now
	}
}

// lasts reports whether requests have started too late for their latency objective for
// longer than lateTolerance, and none with at least half of its slack left. A shorter
// queue then gives the same throughput, and the requests meet their objective.
func (l *lateness) lasts(now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) > lateTolerance
}
