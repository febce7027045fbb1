package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
)

// purpose is what a probe is for.
type purpose int

const (
	watch          purpose = iota // regular probe
	indirect                      // regular probe that waits for helpers
	relay                         // on behalf of another daemon
	verify                        // of a reported death
	verifyIndirect                // of a reported death, through a helper
	heal                          // of a lost member or of a seed
)

// helperCandidates is the number of random members among which helpers are
// chosen. With 4 regions, all lie in two given regions once in 65,000 choices.
const helperCandidates = 16

// probe is an open probe.
type probe struct {
	purpose  purpose
	subject  fleet.DaemonID
	deadline time.Time
	// replyTo and replySequence name the daemon and the probe that a relay serves.
	replyTo       string
	replySequence uint64
}

// prober is the state of failure detection.
type prober struct {
	lastTick time.Time
	probeAt  time.Time
	step     int
	sequence uint64
	open     map[uint64]*probe
	suspects map[fleet.DaemonID]*entry
	// verifies are the reported deaths that wait for their probe.
	verifies    []fleet.DaemonID
	verifyAt    time.Time
	refutations int
	verdicts    int

	randomProbes bool
}

// Receive takes in a datagram that arrived from an address.
func (l *List) Receive(from string, d Datagram) Output {
	defer l.notify()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Output
	now := l.Now()
	if d.From == l.self.Daemon {
		return out
	}
	refutations := l.refutations
	for _, r := range d.Updates {
		if l.apply(r, fromNews, now) {
			l.lastNewsAt = now
		}
	}
	switch d.Kind {
	case Ping:
		l.answer(from, d, l.refutations > refutations, &out)
	case Ack:
		l.acked(d, now, &out)
	case Nack:
		l.nacked(d)
	case PingRequest:
		l.relay(from, d, now, &out)
	case Gossip:
	}
	l.compareTables(d, now, &out)
	return out
}

// answer acknowledges a ping. A sender that counts as dead here learns of it
// and refutes; an unknown sender learns the own record, and one that reported
// the own failure the refutation.
func (l *List) answer(from string, d Datagram, refuted bool, out *Output) {
	var first []Record
	if refuted {
		first = append(first, l.self.asNotice())
	}
	switch e := l.entries[d.From]; {
	case e == nil:
		first = append(first, l.self)
	case e.Health != Alive && e.Incarnation == d.FromIncarnation:
		first = append(first, e.asNotice())
	}
	out.Send = append(out.Send, Envelope{To: from, Datagram: l.datagram(Ack, d.Sequence, "", first...)})
}

// relay probes the subject on behalf of the sender.
func (l *List) relay(from string, d Datagram, now time.Time, out *Output) {
	e := l.entries[d.Subject]
	if e == nil {
		return
	}
	p := &probe{purpose: relay, subject: d.Subject, deadline: now.Add(HelperTimeout), replyTo: from, replySequence: d.Sequence}
	l.send(e, p, out)
}

// send sends the ping of a probe. A subject that is not alive learns what is
// believed of it, so that it can refute.
func (l *List) send(e *entry, p *probe, out *Output) {
	l.sequence++
	l.open[l.sequence] = p
	var first []Record
	if e.Health != Alive {
		first = append(first, e.asNotice())
	}
	out.Send = append(out.Send, Envelope{To: e.GossipAddress, Datagram: l.datagram(Ping, l.sequence, "", first...)})
}

// acked settles an open probe.
func (l *List) acked(d Datagram, now time.Time, out *Output) {
	p := l.open[d.Sequence]
	if p == nil {
		l.ackedLate(d)
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
	e.evidence, e.nacked, e.reported, e.doubted, e.verifying = false, false, false, false, false
	if p.purpose == verify || p.purpose == verifyIndirect || now.Sub(e.suspectedAt) > StaleSuspicion {
		l.leaveRing(e)
		e.Health = Alive
		l.enterRing(e)
		l.clearSuspicion(e)
		l.report(e)
	}
}

// ackedLate takes in the answer to a probe that has timed out. On a slow link
// it still shows that the suspect answers.
func (l *List) ackedLate(d Datagram) {
	e := l.entries[d.From]
	if e != nil && e.Health == Suspect && d.Sequence >= e.failedProbe {
		e.evidence, e.nacked = false, false
	}
}

func (l *List) nacked(d Datagram) {
	p := l.open[d.Sequence]
	if p == nil || p.subject != d.Subject {
		return
	}
	if e := l.entries[p.subject]; e != nil {
		e.nacked = true
	}
}

// Tick does what is due and returns when the next call is due.
func (l *List) Tick() (Output, time.Time) {
	defer l.notify()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Output
	now := l.Now()
	if now.Sub(l.lastTick) > PauseThreshold {
		l.afterPause(now)
	}
	l.lastTick = now
	l.expire(now, &out)
	l.judge(now, &out)
	l.verifyReported(now, &out)
	l.probeNext(now, &out)
	l.announceState(now)
	l.round(now, &out)
	l.heal(now, &out)
	l.wantDetails(now, &out)
	return out, l.nextTick(now)
}

// afterPause discards evidence that a pause of the own process may have caused.
func (l *List) afterPause(now time.Time) {
	clear(l.open)
	for _, e := range l.suspects {
		e.suspectedAt = now
		e.evidence, e.nacked, e.verifying = false, false, false
	}
}

// expire handles probes whose time is up.
func (l *List) expire(now time.Time, out *Output) {
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
		case watch:
			if e.Health == Alive {
				e.failedProbe = sequence
			}
			p.purpose = indirect
			l.askHelpers(e, sequence, p, Helpers, now, out)
		case indirect, verifyIndirect:
			l.unanswered(e, now, out)
		case verify:
			p.purpose = verifyIndirect
			l.askHelpers(e, sequence, p, 1, now, out)
		case heal, relay:
		}
	}
}

// askHelpers asks up to n other members to probe the subject. The probe stays
// open, so that a late direct answer settles it too.
func (l *List) askHelpers(e *entry, sequence uint64, p *probe, n int, now time.Time, out *Output) {
	p.deadline = now.Add(IndirectTimeout)
	l.open[sequence] = p
	for _, h := range l.helpers(e, n) {
		out.Send = append(out.Send, Envelope{To: h.GossipAddress, Datagram: l.datagram(PingRequest, sequence, e.Daemon)})
	}
}

// helpers picks members in different regions or zones, those in neither the own
// place nor the subject's first. When the link between two places is cut, at
// least one helper then has other links to both.
func (l *List) helpers(subject *entry, n int) []*entry {
	candidates := l.pick(helperCandidates, subject.Daemon)
	candidates = slices.DeleteFunc(candidates, func(c *entry) bool { return c.Health != Alive })
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		return cmp.Compare(l.nearness(a, subject), l.nearness(b, subject))
	})
	var out []*entry
	fits := func(c *entry, same func(a, b fleet.Place) bool) bool {
		return !slices.ContainsFunc(out, func(o *entry) bool { return o == c || same(o.Place, c.Place) })
	}
	for _, same := range []func(a, b fleet.Place) bool{sameRegion, samePlace, noPlace} {
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
func noPlace(_, _ fleet.Place) bool    { return false }

// nearness counts what a helper shares with the own daemon and with the subject.
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

// unanswered records that neither the own probe nor the helpers got an answer.
func (l *List) unanswered(e *entry, now time.Time, out *Output) {
	first := e.Health == Alive
	e.evidence, e.verifying = true, false
	if !first {
		return
	}
	l.suspect(e, e.Revision, now)
	l.spreadNews(e.asNotice())
	// The second probe carries the suspicion to the suspect.
	l.send(e, &probe{purpose: watch, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// suspect puts a member under suspicion.
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
	if l.bulk(now) {
		l.verifyLater(e)
	}
	l.report(e)
}

func (l *List) clearSuspicion(e *entry) {
	e.evidence, e.nacked, e.reported, e.doubted, e.verifying = false, false, false, false, false
	delete(l.suspects, e.Daemon)
}

// judge declares suspects dead whose time to refute is over. Besides the own
// failed probes it takes a helper or a report that says the same, so that a
// daemon that receives nothing condemns nobody. A report alone suffices unless
// it is old or many are reported at once: a split of the fleet and its healing
// produce such reports of healthy members.
func (l *List) judge(now time.Time, out *Output) {
	for _, id := range slices.Sorted(maps.Keys(l.suspects)) {
		e := l.suspects[id]
		if now.Before(e.suspectedAt.Add(SuspicionTimeout)) {
			continue
		}
		bulk := l.bulk(now)
		trusted := e.reported && !e.doubted && !bulk
		agreed := e.nacked || e.reported || len(l.ring) <= 1
		switch {
		case trusted || e.evidence && agreed:
			l.conclude(e, now)
		case e.reported, bulk && e.evidence:
			l.verifyLater(e)
		case e.evidence, now.Sub(e.suspectedAt) > StaleSuspicion:
			l.probeAgain(e, now, out)
		}
	}
}

// conclude declares a member dead.
func (l *List) conclude(e *entry, now time.Time) {
	reported := e.reported
	l.markDead(e, now)
	if !reported {
		l.verdicts++
		l.spreadNews(e.asNotice())
	}
}

// probeAgain probes a suspect on which there is too little evidence.
func (l *List) probeAgain(e *entry, now time.Time, out *Output) {
	for _, p := range l.open {
		if p.subject == e.Daemon && p.purpose != relay {
			return
		}
	}
	l.send(e, &probe{purpose: watch, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// reportedDead takes in the report that a member died.
func (l *List) reportedDead(e *entry, r Record, from origin, now time.Time) {
	if e.Health == Dead {
		e.Revision = r.Revision
		return
	}
	if e.State == fleet.Leaving {
		l.suspect(e, r.Revision, now)
		l.markDead(e, now)
		l.passOn(r, from)
		return
	}
	l.suspect(e, r.Revision, now)
	if e.reported {
		return
	}
	e.reported = true
	e.doubted = from == fromExchange
	if e.doubted {
		l.verifyLater(e)
	}
	l.passOn(r, from)
}

func (l *List) verifyLater(e *entry) {
	if !e.verifying {
		e.verifying = true
		l.verifies = append(l.verifies, e.Daemon)
	}
}

// verifyReported probes members that others declared dead, at VerifyRate.
func (l *List) verifyReported(now time.Time, out *Output) {
	if len(l.verifies) == 0 || now.Before(l.verifyAt) {
		return
	}
	l.verifyAt = now.Add(GossipInterval)
	n := int(VerifyRate * GossipInterval / time.Second)
	for ; n > 0 && len(l.verifies) > 0; n-- {
		e := l.entries[l.verifies[0]]
		l.verifies = l.verifies[1:]
		if e == nil || e.Health != Suspect || !e.verifying {
			continue
		}
		l.send(e, &probe{purpose: verify, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
	}
}

// probeNext probes the next ring neighbour, or a random member in each fourth
// step. The random probes also compare the tables of members far apart.
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
	l.step = (l.step + 1) % (Monitors + 1)
	e := l.ring[l.random.IntN(len(l.ring))]
	if l.step < Monitors && !l.randomProbes {
		e = l.successor(l.step)
	}
	if e.Health == Suspect && e.evidence {
		return
	}
	l.send(e, &probe{purpose: watch, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// successor returns the k-th member after the own daemon on the ring.
func (l *List) successor(k int) *entry {
	return l.ring[(l.ringIndex(l.selfHash)+k)%len(l.ring)]
}

// nextTick returns the earliest deadline.
func (l *List) nextTick(now time.Time) time.Time {
	next := now.Add(PauseThreshold / 2)
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(l.probeAt)
	earlier(l.roundAt)
	for _, p := range l.open {
		earlier(p.deadline)
	}
	if len(l.verifies) > 0 {
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
