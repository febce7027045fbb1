package member

import (
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// sweepInterval is the time between searches for records to forget.
const sweepInterval = 10 * time.Second

// healer is the state of lost members.
type healer struct {
	lost map[fleet.DaemonID]*entry
	// losses are the losses within LossWindow.
	losses    []*entry
	keptCount int
	healAt    time.Time
	seedAt    time.Time
	sweepAt   time.Time
}

// markDead records the loss of a member. Members that announced that they
// leave are removed. Others are kept as unreachable when many are lost
// together or when none of their service would remain.
func (l *List) markDead(e *entry, now time.Time) {
	l.leaveRing(e)
	l.clearSuspicion(e)
	e.Health = Dead
	e.lostAt = now
	if l.lost == nil {
		l.lost = map[fleet.DaemonID]*entry{}
	}
	l.lost[e.Daemon] = e
	if e.State == fleet.Leaving {
		l.report(e)
		return
	}
	l.losses = append(l.losses, e)
	if l.bulk(now) {
		for _, other := range l.losses {
			l.keep(other)
		}
	} else if !l.othersVisible(e) {
		l.keep(e)
	}
	l.report(e)
	invariant.Check(l.othersVisible(e) || e.visible(), "member-loss-empties-no-service", "%s", e.Service)
}

// bulk reports whether many members are being lost together.
func (l *List) bulk(now time.Time) bool {
	for len(l.losses) > 0 && now.Sub(l.losses[0].lostAt) > LossWindow {
		l.losses = l.losses[1:]
	}
	threshold := max(BulkLosses, (len(l.ring)+len(l.lost))*BulkPercent/100)
	return len(l.losses)+len(l.suspects) >= threshold
}

func (l *List) othersVisible(e *entry) bool {
	for _, other := range l.services[e.Service] {
		if other != e && other.visible() {
			return true
		}
	}
	return e.Service == l.self.Service
}

func (l *List) keep(e *entry) {
	if e.Health != Dead || e.kept || l.entries[e.Daemon] != e {
		return
	}
	l.setKept(e, true)
	l.report(e)
}

func (l *List) setKept(e *entry, kept bool) {
	if e.kept == kept {
		return
	}
	e.kept = kept
	if kept {
		l.keptCount++
	} else {
		l.keptCount--
	}
}

// heal probes lost members and seeds, and forgets old records.
func (l *List) heal(now time.Time, out *Output) {
	if !now.Before(l.healAt) {
		l.healAt = now.Add(HealInterval/2 + l.jitter(HealInterval))
		l.probeLost(now, out)
	}
	if !now.Before(l.seedAt) {
		l.seedAt = now.Add(SeedInterval/2 + l.jitter(SeedInterval))
		l.probeSeed(now, out)
	}
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(sweepInterval)
		l.sweep(now)
	}
}

// probeLost probes a random lost member. All daemons together probe a lost
// member about twice a second, so that the host that takes over its address is
// not flooded.
func (l *List) probeLost(now time.Time, out *Output) {
	if len(l.lost) == 0 || l.random.IntN(len(l.ring)+1) >= len(l.lost) {
		return
	}
	ids := slices.Sorted(maps.Keys(l.lost))
	e := l.lost[ids[l.random.IntN(len(ids))]]
	l.send(e, &probe{purpose: heal, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// probeSeed introduces the own daemon to a seed that no live member has as its
// address.
func (l *List) probeSeed(now time.Time, out *Output) {
	if len(l.Seeds) == 0 {
		return
	}
	seed := l.Seeds[l.random.IntN(len(l.Seeds))]
	if seed == l.self.GossipAddress {
		return
	}
	for _, e := range l.ring {
		if e.GossipAddress == seed {
			return
		}
	}
	l.sequence++
	l.open[l.sequence] = &probe{purpose: heal, deadline: now.Add(PingTimeout)}
	out.Send = append(out.Send, Envelope{To: seed, Datagram: l.datagram(Ping, l.sequence, "", l.self)})
}

// sweep forgets members that were lost long ago.
func (l *List) sweep(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.lost)) {
		e := l.lost[id]
		age := now.Sub(e.lostAt)
		if e.kept && age > KeepUnreachable && l.othersVisible(e) {
			l.setKept(e, false)
			l.report(e)
		}
		if age > RememberFor && !e.kept {
			l.forget(e)
		}
	}
}
