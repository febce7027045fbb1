package member

import (
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// sweepInterval is the time between searches for records to remove.
const sweepInterval = 10 * time.Second

// reconnector is the state of lost members, which are dead or unreachable.
type reconnector struct {
	lost map[fleet.DaemonID]*entry
	// losses are the members lost within LossWindow, oldest first.
	losses        []*entry
	retainedCount int
	reconnectAt   time.Time
	seedAt        time.Time
	sweepAt       time.Time
}

// markDead records the loss of a member. Members in state Leaving disappear from
// the list. Others stay in it as unreachable if many are lost together or if no
// other member of their service would remain.
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
		l.queueChange(e)
		return
	}
	l.losses = append(l.losses, e)
	if l.bulkLoss(now) {
		for _, other := range l.losses {
			l.retain(other)
		}
	} else if !l.othersVisible(e) {
		l.retain(e)
	}
	l.queueChange(e)
	invariant.Check(l.othersVisible(e) || e.visible(), "member-loss-empties-no-service", "%s", e.Service)
}

// bulkLoss reports whether the recent losses and the current suspects amount to a
// bulk loss.
func (l *List) bulkLoss(now time.Time) bool {
	for len(l.losses) > 0 && now.Sub(l.losses[0].lostAt) > LossWindow {
		l.losses = l.losses[1:]
	}
	threshold := max(BulkLosses, (len(l.ring)+len(l.lost))*BulkPercent/100)
	return len(l.losses)+len(l.suspects) >= threshold
}

// othersVisible reports whether the service of e has other members in the list,
// or is this daemon's own.
func (l *List) othersVisible(e *entry) bool {
	for _, other := range l.services[e.Service] {
		if other != e && other.visible() {
			return true
		}
	}
	return e.Service == l.self.Service
}

// retain keeps a dead member in the list as unreachable.
func (l *List) retain(e *entry) {
	if e.Health != Dead || e.retained || l.entries[e.Daemon] != e {
		return
	}
	l.setRetained(e, true)
	l.queueChange(e)
}

func (l *List) setRetained(e *entry, retained bool) {
	if e.retained == retained {
		return
	}
	e.retained = retained
	if retained {
		l.retainedCount++
	} else {
		l.retainedCount--
	}
}

// reconnect probes lost members and seeds and removes old records when due.
func (l *List) reconnect(now time.Time, out *Output) {
	if !now.Before(l.reconnectAt) {
		l.reconnectAt = now.Add(ReconnectInterval/2 + l.jitter(ReconnectInterval))
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

// probeLost probes a random lost member. All daemons together probe a lost member
// about twice a second, so that a host that takes over its address is not flooded.
func (l *List) probeLost(now time.Time, out *Output) {
	if len(l.lost) == 0 || l.random.IntN(len(l.ring)+1) >= len(l.lost) {
		return
	}
	ids := slices.Sorted(maps.Keys(l.lost))
	e := l.lost[ids[l.random.IntN(len(ids))]]
	l.sendPing(e, &probe{purpose: reconnect, subject: e.Daemon, deadline: now.Add(PingTimeout)}, out)
}

// probeSeed sends this daemon's record to a random seed unless a live member has
// that address.
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
	l.open[l.sequence] = &probe{purpose: reconnect, deadline: now.Add(PingTimeout)}
	out.Send = append(out.Send, Envelope{To: seed, Datagram: l.datagram(Ping, l.sequence, "", l.self)})
}

// sweep ends the retention of members that were lost long ago.
func (l *List) sweep(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.lost)) {
		e := l.lost[id]
		age := now.Sub(e.lostAt)
		if e.retained && age > UnreachableRetention && l.othersVisible(e) {
			l.setRetained(e, false)
			l.queueChange(e)
		}
		if age > DeadRetention && !e.retained {
			l.removeEntry(e)
		}
	}
}
