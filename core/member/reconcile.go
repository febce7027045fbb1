package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"pollenscale/core/fleet"
)

// Reconciliation of the tables of two daemons.
const (
	// quiet is the time without news after which tables that still differ are
	// reconciled. Before that, news on its way explains the difference.
	quiet = time.Second
	// reconcileInterval is the least time between reconciliations.
	reconcileInterval = 2 * time.Second
	// forcedInterval is the time after which tables that differ are reconciled
	// although news keeps arriving.
	forcedInterval = 15 * time.Second
	// reconcileRate bounds the bytes per second of reconciliation.
	reconcileRate = 8 << 10
	// detailsFirst is the time before the first request for missing details, and
	// detailsInterval the longest time between two. Callers wait 2 s for a new
	// owner of a key slot, which two changes of details make known.
	detailsFirst    = 200 * time.Millisecond
	detailsInterval = time.Second
	// sampleSize is the number of members that a joining daemon first asks for,
	// so that whole tables are not all read from the few seeds.
	sampleSize = 16
)

// Request asks a daemon to reconcile.
type Request struct {
	Members       []Record
	Buckets       []uint64
	Services      []fleet.Service
	Sample        int
	ConfigVersion uint64
}

// Reply answers a Request.
type Reply struct {
	Members       []Record
	Buckets       []uint64
	ConfigVersion uint64
}

// Call sends a request to the daemon at a peer address.
type Call func(ctx context.Context, peerAddress string, r Request) (Reply, error)

type reconciler struct {
	joined      bool
	lastNewsAt  time.Time
	reconcileAt time.Time
	forcedAt    time.Time
	// detailsAt is when details may be asked for next, and detailsPause the pause
	// before it, 0 while none are missing.
	detailsAt    time.Time
	detailsPause time.Duration
}

// compareTables asks for a reconciliation with a daemon whose table differs
// although no news is on its way.
func (l *List) compareTables(d Datagram, now time.Time, out *Output) {
	if d.TableDigest == l.digest || now.Before(l.reconcileAt) {
		return
	}
	busy := now.Sub(l.lastNewsAt) < quiet || len(l.items) > 0
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

// wantDetails asks for the details of subscribed services that are missing. News
// that is still on its way may bring them first.
func (l *List) wantDetails(now time.Time, out *Output) {
	if now.Before(l.detailsAt) {
		return
	}
	var wanted []Exchange
	for _, s := range slices.Sorted(maps.Keys(l.subscribed)) {
		var lacking []string
		for _, e := range l.services[s] {
			if e.Health == Alive && e.detailsAt != e.DetailsRevision {
				lacking = append(lacking, e.PeerAddress)
			}
		}
		if len(lacking) == 0 {
			continue
		}
		// A member of a service knows its own details and those of the others.
		slices.Sort(lacking)
		source := lacking[l.random.IntN(len(lacking))]
		wanted = append(wanted, Exchange{PeerAddress: source, Services: []fleet.Service{s}})
	}
	if len(wanted) == 0 {
		l.detailsPause = 0
		return
	}
	if l.detailsPause > 0 {
		out.Exchange = append(out.Exchange, wanted...)
	}
	l.detailsPause = min(max(2*l.detailsPause, detailsFirst), detailsInterval)
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

// HandleRequest serves the request of another daemon.
func (l *List) HandleRequest(r Request) Reply {
	defer l.notify()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(r.Members)
	reply := Reply{ConfigVersion: l.configVersion}
	if r.Sample > 0 {
		reply.Members = append(reply.Members, l.self)
		for _, e := range l.pick(r.Sample, "") {
			reply.Members = append(reply.Members, e.short())
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
	l.each(func(e *entry) {
		if wanted[e.Service] {
			reply.Members = append(reply.Members, l.published(e, true))
		} else if l.buckets[e.hash%Buckets] != r.Buckets[e.hash%Buckets] {
			reply.Members = append(reply.Members, l.published(e, false))
		}
	})
	return reply
}

// published returns the record of an entry as it is told to others.
func (l *List) published(e *entry, details bool) Record {
	if e.Health == Dead {
		return e.asNotice()
	}
	if details && e.Detailed && e.detailsAt == e.DetailsRevision {
		return e.Record
	}
	return e.short()
}

// take applies records of a reconciliation.
func (l *List) take(records []Record) {
	now := l.Now()
	for _, r := range records {
		l.apply(r, fromExchange, now)
	}
}

// Merge takes in the answer to a request. The returned request, if it has
// members, brings the other daemon what it lacks.
func (l *List) Merge(sent Request, r Reply) Request {
	defer l.notify()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(r.Members)
	bytes := 0
	theirs := make(map[fleet.DaemonID]*Record, len(r.Members))
	for i := range r.Members {
		theirs[r.Members[i].Daemon] = &r.Members[i]
		bytes += r.Members[i].size()
	}
	if !l.joined && len(l.ring) > 0 {
		l.joined = true
		l.spreadNews(l.self)
	}
	back := Request{ConfigVersion: l.configVersion}
	if len(r.Buckets) == Buckets && len(sent.Buckets) == Buckets {
		l.each(func(e *entry) {
			have := theirs[e.Daemon]
			differs := r.Buckets[e.hash%Buckets] != sent.Buckets[e.hash%Buckets]
			if differs && (have == nil || e.newer(have)) {
				back.Members = append(back.Members, l.published(e, false))
				bytes += e.size()
			}
		})
	}
	at := l.Now().Add(time.Duration(bytes) * time.Second / reconcileRate)
	if at.After(l.reconcileAt) {
		l.reconcileAt = at
	}
	return back
}

// Reconcile carries out one exchange.
func (l *List) Reconcile(ctx context.Context, call Call, x Exchange) error {
	request := l.Request(x.Services...)
	reply, err := call(ctx, x.PeerAddress, request)
	if err != nil {
		return err
	}
	back := l.Merge(request, reply)
	if len(back.Members) == 0 {
		return nil
	}
	_, err = call(ctx, x.PeerAddress, back)
	return err
}
