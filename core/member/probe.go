package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
)

// purpose is the reason for a probe and its current phase.
type purpose int

const (
	regular        purpose = iota // probe on the regular schedule
	indirect                      // regular probe that waits for helpers
	relay                         // probe requested by another daemon
	verify                        // probe that verifies whether a suspect is dead
	verifyIndirect                // verification probe that waits for a helper
	reconnect                     // probe of a lost member or a seed
)

// helperCandidates is the number of random members from which helpers are chosen.
// With 4 regions, all of them are in two given regions once in 65,000 choices.
const helperCandidates = 16

// probe is an open probe.
type probe struct {
	purpose  purpose
	subject  fleet.DaemonID
	deadline time.Time
	// replyTo and replySequence are the address of the daemon that sent the
	// PingRequest and the sequence number of its probe.
	replyTo       string
	replySequence uint64
}

// prober is the state of failure detection.
type prober struct {
	lastTick  time.Time
	probeAt   time.Time
	probeStep int
	sequence  uint64
	open      map[uint64]*probe
	suspects  map[fleet.DaemonID]*entry
	// verifyQueue holds the suspects that wait for a verification probe.
	verifyQueue  []fleet.DaemonID
	verifyAt     time.Time
	refutations  int
	declaredDead int

	randomProbes bool
}

// Receive handles a datagram that arrived from the given address.
func (l *List) Receive(from string, d Datagram) Output {
	defer l.deliverChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Output
	now := l.Now()
	if d.From == l.self.Daemon {
		return out
	}
	refutations := l.refutations
	for _, r := range d.Updates {
		if l.apply(r, fromGossip, now) {
			l.lastUpdateAt = now
		}
	}
	switch d.Kind {
	case Ping:
		l.handlePing(from, d, l.refutations > refutations, &out)
	case Ack:
		l.handleAck(d, now, &out)
	case Nack:
		l.handleNack(d)
	case PingRequest:
		l.handlePingRequest(from, d, now, &out)
	case Gossip:
	}
	l.compareTables(d, now, &out)
	return out
}

// handlePing acknowledges a ping. The acknowledgement carries the refutation if
// the sender reported a failure of this daemon, and this daemon's record if the
// sender is unknown. A sender that is not alive in this list gets its own record,
// so that it can refute.
func (l *List) handlePing(from string, d Datagram, refuted bool, out *Output) {
	var updates []Record
	if refuted {
		updates = append(updates, l.self.stateUpdate())
	}
	switch e := l.entries[d.From]; {
	case e == nil:
		updates = append(updates, l.self)
	case e.Health != Alive && e.Incarnation == d.FromIncarnation:
		updates = append(updates, e.stateUpdate())
	}
	out.Send = append(out.Send, Envelope{To: from, Datagram: l.datagram(Ack, d.Sequence, "", updates...)})
}

// handlePingRequest probes the subject for the sender.
func (l *List) handlePingRequest(from string, d Datagram, now time.Time, out *Output) {
	e := l.entries[d.Subject]
	if e == nil {
		return
	}
	p := &probe{purpose: relay, subject: d.Subject, deadline: now.Add(HelperTimeout), replyTo: from, replySequence: d.Sequence}
	l.sendPing(e, p, out)
}

// sendPing opens a probe and sends its ping. A subject that is not alive in this
// list gets its own record, so that it can refute.
func (l *List) sendPing(e *entry, p *probe, out *Output) {
	l.sequence++
	l.open[l.sequence] = p
	var updates []Record
	if e.Health != Alive {
		updates = append(updates, e.stateUpdate())
	}
	out.Send = append(out.Send, Envelope{To: e.GossipAddress, Datagram: l.datagram(Ping, l.sequence, "", updates...)})
}

// handleAck completes an open probe.
func (l *List) handleAck(d Datagram, now time.Time, out *Output) {
	p := l.open[d.Sequence]
	if p == nil {
		l.handleLateAck(d)
		return
	}
	if p.subject != d.From && p.subject != d.Subject {
		return
	}
	delete(l.open, d.Sequence)
	if p.purpose == relay {
		out.Send = append(out.Send, Envelope{To: p.replyTo, Datagram: l.datagram(Ack, p.replySequence, p.subject)})
		return
	}
	e := l.entries[p.subject]
	if e == nil || e.Health != Suspect {
		return
	}
	e.probeFailed, e.nacked, e.reported, e.unverified, e.verifying = false, false, false, false, false
	if p.purpose == verify || p.purpose == verifyIndirect || now.Sub(e.suspectedAt) > StaleSuspicion {
		l.leaveRing(e)
		e.Health = Alive
		l.enterRing(e)
		l.clearSuspicion(e)
		l.queueChange(e)
	}
}

// handleLateAck handles the answer to a probe that has timed out. On a slow link
// it still shows that the suspect is alive.
func (l *List) handleLateAck(d Datagram) {
	e := l.entries[d.From]
	if e != nil && e.Health == Suspect && d.Sequence >= e.failedSequence {
		e.probeFailed, e.nacked = false, false
	}
}

func (l *List) handleNack(d Datagram) {
	p := l.open[d.Sequence]
	if p == nil || p.subject != d.Subject {
		return
	}
	if e := l.entries[p.subject]; e != nil {
		e.nacked = true
	}
}

// Tick performs the actions that are due and returns when to call it next.
func (l *List) Tick() (Output, time.Time) {
	defer l.deliverChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Output
	now := l.Now()
	if now.Sub(l.lastTick) > PauseThreshold {
		l.discardEvidence(now)
	}
	l.lastTick = now
	l.expireProbes(now, &out)
	l.evaluateSuspects(now, &out)
	l.verifyReported(now, &out)
	l.probeNext(now, &out)
	l.announceState(now)
	l.gossipRound(now, &out)
	l.reconnect(now, &out)
	l.requestDetails(now, &out)
	return out, l.nextTick(now)
}

// discardEvidence discards the failed and open probes and restarts the suspicion
// timeouts, because a pause of this process may be the cause of the failures.
func (l *List) discardEvidence(now time.Time) {
	clear(l.open)
	for _, e := range l.suspects {
		e.suspectedAt = now
		e.probeFailed, e.nacked, e.verifying = false, false, false
	}
}

// expireProbes handles the probes that have timed out.
func (l *List) expireProbes(now time.Time, out *Output) {
	for _, sequence := range slices.Sorted(maps.Keys(l.open)) {
		p := l.open[sequence]
		if now.Before(p.deadline) {
			continue
		}
		delete(l.open, sequence)
		e := l.entries[p.subject]
		if p.purpose == relay {
			out.Send = append(out.Send, Envelope{To: p.replyTo, Datagram: l.datagram(Nack, p.replySequence, p.subject)})
			continue
		}
		if e == nil || e.Health == Dead {
			continue
		}
		switch p.purpose {
		case regular:
			if e.Health == Alive {
				e.failedSequence = sequence
			}
			p.purpose = indirect
			l.askHelpers(e, sequence, p, Helpers, now, out)
		case indirect, verifyIndirect:
			l.indirectProbeFailed(e, now, out)
		case verify:
			p.purpose = verifyIndirect
			l.askHelpers(e, sequence, p, 1, now, out)
		case reconnect, relay:
		}
	}
}

// askHelpers sends a PingRequest for the subject to up to n other members. The
// probe stays open, so that a late direct answer completes it too.
func (l *List) askHelpers(e *entry, sequence uint64, p *probe, n int, now time.Time, out *Output) {
	p.deadline = now.Add(IndirectTimeout)
	l.open[sequence] = p
	for _, h := range l.pickHelpers(e, n) {
		out.Send = append(out.Send, Envelope{To: h.GossipAddress, Datagram: l.datagram(PingRequest, sequence, e.Daemon)})
	}
}

// pickHelpers returns up to n random members, in different regions or else zones
// where possible. It prefers those that share no region or zone with this daemon
// or the subject: if the link between these two places fails, at least one helper
// still has other links to both.
func (l *List) pickHelpers(subject *entry, n int) []*entry {
	candidates := l.pickRandom(helperCandidates, subject.Daemon)
	candidates = slices.DeleteFunc(candidates, func(c *entry) bool { return c.Health != Alive })
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		return cmp.Compare(l.nearness(a, subject), l.nearness(b, subject))
	})
	var out []*entry
	fits := func(c *entry, same func(a, b fleet.Place) bool) bool {
		return !slices.ContainsFunc(out, func(o *entry) bool { return o == c || same(o.Place, c.Place) })
	}
	for _, same := range []func(a, b fleet.Place) bool{sameRegion, samePlace, neverSame} {
		for _, c := range candidates {
			if len(out) < n && fits(c, same) {
				out = append(out, c)
			}
		}
	}
	return out
}

func sameRegion(a, b fleet.Place) bool { return a.Region == b.Region }
func samePlace(a, b fleet.Place) bool  { return a == b }
func neverSame(_, _ fleet.Place) bool  { return false }

// nearness scores the regions and zones that a helper shares with this daemon and
// with the subject.
func (l *List) nearness(h, subject *entry) int {
	n := 0
	for _, p := range []fleet.Place{l.self.Place, subject.Place} {
		if h.Place.Region == p.Region {
			n += 2
		}
		if h.Place == p {
			n++
		}
	}
	return n
}

// indirectProbeFailed records that neither the direct probe nor the helpers got an
// answer.
func (l *List) indirectProbeFailed(e *entry, now time.Time, out *Output) {
	alive := e.Health == Alive
	e.probeFailed, e.verifying = true, false
	if !alive {
		return
	}
	l.suspect(e, e.Revision, now)
	l.enqueueUpdate(e.stateUpdate())
	// A second ping carries the suspicion to the suspect.
	l.sendPing(e, &probe{purpose: regular, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// suspect records a revision of a member and marks the member as suspected, unless
// it is dead.
func (l *List) suspect(e *entry, revision Revision, now time.Time) {
	if e.Health == Dead {
		return
	}
	l.leaveRing(e)
	e.Revision = revision
	l.enterRing(e)
	if e.Health == Suspect {
		return
	}
	e.Health = Suspect
	e.suspectedAt = now
	if l.suspects == nil {
		l.suspects = map[fleet.DaemonID]*entry{}
	}
	l.suspects[e.Daemon] = e
	if l.bulkLoss(now) {
		l.queueVerification(e)
	}
	l.queueChange(e)
}

func (l *List) clearSuspicion(e *entry) {
	e.probeFailed, e.nacked, e.reported, e.unverified, e.verifying = false, false, false, false, false
	delete(l.suspects, e.Daemon)
}

// evaluateSuspects declares suspects dead that have not refuted in time. Besides
// this daemon's own failed probes it requires a Nack from a helper or a report from
// another daemon, so that a daemon that receives nothing declares no one dead. A
// report alone suffices unless it may be outdated or many members are reported at
// once: a network partition and its end produce such reports of healthy members.
func (l *List) evaluateSuspects(now time.Time, out *Output) {
	for _, id := range slices.Sorted(maps.Keys(l.suspects)) {
		e := l.suspects[id]
		if now.Before(e.suspectedAt.Add(SuspicionTimeout)) {
			continue
		}
		bulk := l.bulkLoss(now)
		trusted := e.reported && !e.unverified && !bulk
		agreed := e.nacked || e.reported || len(l.ring) <= 1
		switch {
		case trusted || e.probeFailed && agreed:
			l.declareDead(e, now)
		case e.reported, bulk && e.probeFailed:
			l.queueVerification(e)
		case e.probeFailed, now.Sub(e.suspectedAt) > StaleSuspicion:
			l.reprobe(e, now, out)
		}
	}
}

// declareDead marks a member dead and gossips it unless another daemon has
// reported it already.
func (l *List) declareDead(e *entry, now time.Time) {
	reported := e.reported
	l.markDead(e, now)
	if !reported {
		l.declaredDead++
		l.enqueueUpdate(e.stateUpdate())
	}
}

// reprobe probes a suspect for which the evidence is insufficient, unless a probe
// of it is open.
func (l *List) reprobe(e *entry, now time.Time, out *Output) {
	for _, p := range l.open {
		if p.subject == e.Daemon && p.purpose != relay {
			return
		}
	}
	l.sendPing(e, &probe{purpose: regular, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// handleDeathReport handles a record that reports a member dead or unreachable.
func (l *List) handleDeathReport(e *entry, r Record, from origin, now time.Time) {
	if e.Health == Dead {
		e.Revision = r.Revision
		return
	}
	if e.State == fleet.Leaving {
		l.suspect(e, r.Revision, now)
		l.markDead(e, now)
		l.forward(r, from)
		return
	}
	l.suspect(e, r.Revision, now)
	if e.reported {
		return
	}
	e.reported = true
	e.unverified = from == fromExchange
	if e.unverified {
		l.queueVerification(e)
	}
	l.forward(r, from)
}

// queueVerification queues a probe that verifies whether a suspect is dead.
func (l *List) queueVerification(e *entry) {
	if !e.verifying {
		e.verifying = true
		l.verifyQueue = append(l.verifyQueue, e.Daemon)
	}
}

// verifyReported sends the queued verification probes at VerifyRate.
func (l *List) verifyReported(now time.Time, out *Output) {
	if len(l.verifyQueue) == 0 || now.Before(l.verifyAt) {
		return
	}
	l.verifyAt = now.Add(GossipInterval)
	n := int(VerifyRate * GossipInterval / time.Second)
	for ; n > 0 && len(l.verifyQueue) > 0; n-- {
		e := l.entries[l.verifyQueue[0]]
		l.verifyQueue = l.verifyQueue[1:]
		if e == nil || e.Health != Suspect || !e.verifying {
			continue
		}
		l.sendPing(e, &probe{purpose: verify, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
	}
}

// probeNext probes the next ring neighbour, or a random member in every fourth
// step. The random probes also compare the table digests of members that are not
// neighbours on the ring.
func (l *List) probeNext(now time.Time, out *Output) {
	if now.Before(l.probeAt) {
		return
	}
	l.probeAt = l.probeAt.Add(ProbeInterval)
	if l.probeAt.Before(now) {
		l.probeAt = now.Add(ProbeInterval)
	}
	if len(l.ring) == 0 {
		return
	}
	l.probeStep = (l.probeStep + 1) % (Monitors + 1)
	e := l.ring[l.random.IntN(len(l.ring))]
	if l.probeStep < Monitors && !l.randomProbes {
		e = l.successor(l.probeStep)
	}
	if e.Health == Suspect && e.probeFailed {
		return
	}
	l.sendPing(e, &probe{purpose: regular, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// successor returns the member k places after this daemon's first successor on
// the ring.
func (l *List) successor(k int) *entry {
	return l.ring[(l.ringIndex(l.selfHash)+k)%len(l.ring)]
}

// nextTick returns when the next action is due, at the latest in half of
// PauseThreshold.
func (l *List) nextTick(now time.Time) time.Time {
	next := now.Add(PauseThreshold / 2)
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(l.probeAt)
	earlier(l.gossipAt)
	for _, p := range l.open {
		earlier(p.deadline)
	}
	if len(l.verifyQueue) > 0 {
		earlier(l.verifyAt)
	}
	for _, e := range l.suspects {
		if at := e.suspectedAt.Add(SuspicionTimeout); at.After(now) {
			earlier(at)
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}
