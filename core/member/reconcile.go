package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
)

// Timing and limits of the reconciliation of the tables of two daemons.
const (
	// updateSettleTime is the time without updates after which tables that still
	// differ are reconciled. Before that, updates in transit explain the difference.
	updateSettleTime = time.Second
	// reconcileInterval is the minimum time between reconciliations, before jitter.
	reconcileInterval = 2 * time.Second
	// forcedInterval is the time, before jitter, after which tables that differ are
	// reconciled even if updates keep arriving.
	forcedInterval = 15 * time.Second
	// reconcileRate limits reconciliation in bytes per second.
	reconcileRate = 8 << 10
	// firstDetailsPause is the pause before the first request for missing details;
	// it doubles up to maxDetailsPause. Callers wait 2 s for the new owner of a key
	// slot, and two changes of details have to reach them in that time.
	firstDetailsPause = 200 * time.Millisecond
	maxDetailsPause   = time.Second
	// sampleSize is the number of members that a joining daemon first requests,
	// so that joining daemons do not all read whole tables from the few seeds.
	sampleSize = 16
)

// Request starts a reconciliation, or with Sample set asks for random members.
type Request struct {
	Members       []Record
	Buckets       []uint64
	Services      []fleet.Service
	Sample        int
	ConfigVersion uint64
}

// Reply is the response to a Request.
type Reply struct {
	Members       []Record
	Buckets       []uint64
	ConfigVersion uint64
}

// Call sends a request to the daemon at a peer address and returns its reply.
type Call func(ctx context.Context, peerAddress string, r Request) (Reply, error)

// reconciler is the state of reconciliation.
type reconciler struct {
	joined       bool
	lastUpdateAt time.Time
	reconcileAt  time.Time
	forcedAt     time.Time
	// detailsAt is when missing details may be requested next, and detailsPause the
	// pause before it, 0 while none are missing.
	detailsAt    time.Time
	detailsPause time.Duration
}

// compareTables requests a reconciliation with the sender of a datagram if its
// table differs and no updates in transit explain the difference.
func (l *List) compareTables(d Datagram, now time.Time, out *Output) {
	if d.TableDigest == l.digest || now.Before(l.reconcileAt) {
		return
	}
	busy := now.Sub(l.lastUpdateAt) < updateSettleTime || len(l.queued) > 0
	if busy && now.Before(l.forcedAt) {
		return
	}
	e := l.entries[d.From]
	if e == nil || e.Health == Dead {
		return
	}
	l.reconcileAt = now.Add(reconcileInterval/2 + l.jitter(reconcileInterval))
	l.forcedAt = now.Add(forcedInterval/2 + l.jitter(forcedInterval))
	out.Exchange = append(out.Exchange, Exchange{PeerAddress: e.PeerAddress})
}

// requestDetails requests exchanges for the missing details of subscribed services.
// The first request is delayed, since updates in transit may deliver the details.
func (l *List) requestDetails(now time.Time, out *Output) {
	if now.Before(l.detailsAt) {
		return
	}
	var wanted []Exchange
	for _, s := range slices.Sorted(maps.Keys(l.subscribed)) {
		var incomplete []string
		for _, e := range l.services[s] {
			if e.Health == Alive && e.heldDetailsRevision != e.DetailsRevision {
				incomplete = append(incomplete, e.PeerAddress)
			}
		}
		if len(incomplete) == 0 {
			continue
		}
		// A member of a service has its own details and those of the other members.
		slices.Sort(incomplete)
		source := incomplete[l.random.IntN(len(incomplete))]
		wanted = append(wanted, Exchange{PeerAddress: source, Services: []fleet.Service{s}})
	}
	if len(wanted) == 0 {
		l.detailsPause = 0
		return
	}
	if l.detailsPause > 0 {
		out.Exchange = append(out.Exchange, wanted...)
	}
	l.detailsPause = min(max(2*l.detailsPause, firstDetailsPause), maxDetailsPause)
	l.detailsAt = now.Add(l.detailsPause)
}

// Request returns the request that starts a reconciliation.
func (l *List) Request(services ...fleet.Service) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Request{
		Members:       []Record{l.self},
		Buckets:       append([]uint64(nil), l.buckets[:]...),
		Services:      services,
		ConfigVersion: l.configVersion,
	}
}

// HandleRequest merges the records of a request and returns the reply.
func (l *List) HandleRequest(r Request) Reply {
	defer l.deliverChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyAll(r.Members)
	reply := Reply{ConfigVersion: l.configVersion}
	if r.Sample > 0 {
		reply.Members = append(reply.Members, l.self)
		for _, e := range l.pickRandom(r.Sample, "") {
			reply.Members = append(reply.Members, e.withoutDetails())
		}
		return reply
	}
	if len(r.Buckets) != Buckets {
		return reply
	}
	wanted := map[fleet.Service]bool{}
	for _, s := range r.Services {
		wanted[s] = true
	}
	reply.Buckets = append(reply.Buckets, l.buckets[:]...)
	if wanted[l.self.Service] || l.buckets[l.selfHash%Buckets] != r.Buckets[l.selfHash%Buckets] {
		reply.Members = append(reply.Members, l.self)
	}
	l.forEach(func(e *entry) {
		if wanted[e.Service] {
			reply.Members = append(reply.Members, l.published(e, true))
		} else if l.buckets[e.hash%Buckets] != r.Buckets[e.hash%Buckets] {
			reply.Members = append(reply.Members, l.published(e, false))
		}
	})
	return reply
}

// published returns the record of an entry as it is sent to other daemons.
func (l *List) published(e *entry, details bool) Record {
	if e.Health == Dead {
		return e.stateUpdate()
	}
	if details && e.Detailed && e.heldDetailsRevision == e.DetailsRevision {
		return e.Record
	}
	return e.withoutDetails()
}

// applyAll merges the records of a reconciliation.
func (l *List) applyAll(records []Record) {
	now := l.Now()
	for _, r := range records {
		l.apply(r, fromExchange, now)
	}
}

// Merge merges the reply to a request. The returned request, if it has members,
// delivers the records that the other daemon lacks.
func (l *List) Merge(sent Request, r Reply) Request {
	defer l.deliverChanges()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyAll(r.Members)
	bytes := 0
	theirs := make(map[fleet.DaemonID]*Record, len(r.Members))
	for i := range r.Members {
		theirs[r.Members[i].Daemon] = &r.Members[i]
		bytes += r.Members[i].sizeBound()
	}
	if !l.joined && len(l.ring) > 0 {
		l.joined = true
		l.enqueueUpdate(l.self)
	}
	followUp := Request{ConfigVersion: l.configVersion}
	if len(r.Buckets) == Buckets && len(sent.Buckets) == Buckets {
		l.forEach(func(e *entry) {
			have := theirs[e.Daemon]
			differs := r.Buckets[e.hash%Buckets] != sent.Buckets[e.hash%Buckets]
			if differs && (have == nil || e.supersedes(have)) {
				followUp.Members = append(followUp.Members, l.published(e, false))
				bytes += e.sizeBound()
			}
		})
	}
	at := l.Now().Add(time.Duration(bytes) * time.Second / reconcileRate)
	if at.After(l.reconcileAt) {
		l.reconcileAt = at
	}
	return followUp
}

// Reconcile performs one exchange.
func (l *List) Reconcile(ctx context.Context, call Call, x Exchange) error {
	request := l.Request(x.Services...)
	reply, err := call(ctx, x.PeerAddress, request)
	if err != nil {
		return err
	}
	followUp := l.Merge(request, reply)
	if len(followUp.Members) == 0 {
		return nil
	}
	_, err = call(ctx, x.PeerAddress, followUp)
	return err
}
