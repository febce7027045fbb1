package admit

import (
	"math"
	"slices"
	"time"

	"pollenscale/core/fleet"
)

// keptFlows is the number of organisations that a rank remembers before it looks
// for ones to forget.
const keptFlows = 64

// rank holds the queued requests of one rank, by organisation.
type rank struct {
	worth  float64
	floor  float64
	credit float64 // floor credit in seconds of slot time
	share  float64 // share of recent starts
	mean   float64 // smoothed service time in seconds
	spread float64 // mean deviation of the service time in seconds
	queued int
	// lateSince is when requests began to start too late for their objective,
	// zero since one started with time to spare.
	lateSince time.Time
	time      float64 // virtual time: the tag of the flow served last
	flows     map[fleet.Organisation]*flow
	active    []*flow
}

// flow is the queue of one organisation within a rank. Its tag is the virtual
// start time of its next request (start-time fair queueing).
type flow struct {
	weight  float64
	tag     float64
	tickets []*Ticket // by deadline
}

func newRank() *rank {
	return &rank{flows: make(map[fleet.Organisation]*flow)}
}

// observe records the service time of a request.
func (k *rank) observe(took float64) {
	if k.mean == 0 {
		k.mean = took
		return
	}
	k.spread += (math.Abs(took-k.mean) - k.spread) * meanWeight
	k.mean += (took - k.mean) * meanWeight
}

// ahead counts the queued requests that are served before a new request of an
// organisation: its own, and of each other organisation as many as its weight
// allows in the same time.
func (k *rank) ahead(o fleet.Organisation, weight float64) int {
	mine := 0
	if f := k.flows[o]; f != nil {
		mine = len(f.tickets)
	}
	count := mine
	for _, f := range k.active {
		if f != k.flows[o] {
			count += min(len(f.tickets), int(math.Ceil(float64(mine+1)*f.weight/weight)))
		}
	}
	return count
}

// push queues a ticket behind those of its organisation with earlier or equal
// deadlines.
func (k *rank) push(t *Ticket, weight float64) {
	f := k.flows[t.request.Organisation]
	if f == nil {
		k.forget()
		f = &flow{}
		k.flows[t.request.Organisation] = f
	}
	f.weight = weight
	t.flow = f
	if len(f.tickets) == 0 {
		f.tag = max(f.tag, k.time)
		k.active = append(k.active, f)
	}
	at := len(f.tickets)
	for at > 0 && t.before(f.tickets[at-1]) {
		at--
	}
	f.tickets = slices.Insert(f.tickets, at, t)
	k.queued++
}

// forget removes organisations without queued requests whose tag is in the past:
// a new flow would get the same tag.
func (k *rank) forget() {
	if len(k.flows) < keptFlows+2*len(k.active) {
		return
	}
	for o, f := range k.flows {
		if len(f.tickets) == 0 && f.tag <= k.time {
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

// pop removes the next ticket: the first of the organisation with the lowest tag.
func (k *rank) pop() *Ticket {
	f := k.active[0]
	for _, g := range k.active[1:] {
		if g.tag < f.tag {
			f = g
		}
	}
	t := f.tickets[0]
	k.time = f.tag
	f.tag += max(k.mean, 1e-6) / f.weight
	k.take(f, 0)
	return t
}

// last returns the ticket to give up first: the last of the organisation with
// the longest queue for its weight.
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
		k.take(t.flow, i)
	}
}

// take removes the ticket at an index of a flow.
func (k *rank) take(f *flow, i int) {
	f.tickets = slices.Delete(f.tickets, i, i+1)
	k.queued--
	if len(f.tickets) == 0 {
		k.active = slices.DeleteFunc(k.active, func(g *flow) bool { return g == f })
	}
}

// observeStart records how long a request has waited of the time that it had to
// meet its objective.
func (k *rank) observeStart(waited, slack time.Duration, now time.Time) {
	switch {
	case slack == 0:
	case waited < slack/2:
		k.lateSince = time.Time{}
	case waited > slack && k.lateSince.IsZero():
		k.lateSince = now
	}
}

// overloaded reports whether requests have started too late for their objective
// for a while and none with time to spare. A shorter queue then serves as many
// requests, and serves them in time.
func (k *rank) overloaded(now time.Time) bool {
	return !k.lateSince.IsZero() && now.Sub(k.lateSince) > lateTolerance
}
