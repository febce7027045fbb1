package admit

import (
	"math"
	"slices"
	"time"

	"pollenscale/core/fleet"
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
	// lateSince is when requests began to start too late for their latency
	// objective. A start with at least half of the slack left resets it to zero.
	lateSince   time.Time
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
}

func newRank() *rank {
	return &rank{flows: make(map[fleet.Organisation]*flow)}
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
// its weight allows in the same time.
func (k *rank) queuedAhead(o fleet.Organisation, weight float64) int {
	own := 0
	if f := k.flows[o]; f != nil {
		own = len(f.tickets)
	}
	count := own
	for _, f := range k.active {
		if f != k.flows[o] {
			count += min(len(f.tickets), int(math.Ceil(float64(own+1)*f.weight/weight)))
		}
	}
	return count
}

// push inserts a ticket into the queue of its organisation by deadline, behind
// tickets with an equal deadline.
func (k *rank) push(t *Ticket, weight float64) {
	f := k.flows[t.request.Organisation]
	if f == nil {
		k.pruneFlows()
		f = &flow{}
		k.flows[t.request.Organisation] = f
	}
	f.weight = weight
	t.flow = f
	if len(f.tickets) == 0 {
		f.startTag = max(f.startTag, k.virtualTime)
		k.active = append(k.active, f)
	}
	at := len(f.tickets)
	for at > 0 && t.before(f.tickets[at-1]) {
		at--
	}
	f.tickets = slices.Insert(f.tickets, at, t)
	k.queued++
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

// pop removes and returns the first ticket of the flow with the lowest start tag.
func (k *rank) pop() *Ticket {
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
// queue relative to its weight.
func (k *rank) last() *Ticket {
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
// its slack to the latency objective.
func (k *rank) observeStart(waited, slack time.Duration, now time.Time) {
	switch {
	case slack == 0:
	case waited < slack/2:
		k.lateSince = time.Time{}
	case waited > slack && k.lateSince.IsZero():
		k.lateSince = now
	}
}

// overloaded reports whether requests have started too late for their latency
// objective for longer than lateTolerance, and none with at least half of its slack
// left. A shorter queue then gives the same throughput, and the requests meet their
// objective.
func (k *rank) overloaded(now time.Time) bool {
	return !k.lateSince.IsZero() && now.Sub(k.lateSince) > lateTolerance
}
