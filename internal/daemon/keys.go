package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/idempotency"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"golang.org/x/sync/errgroup"
)

// announceInterval bounds how long a new lease stays unknown to other daemons.
const announceInterval = 200 * time.Millisecond

// keys decides about idempotency keys: it finds the owner of a key, and is the
// owner for the key slots whose leases it holds.
type keys struct {
	log      *slog.Logger
	own      fleet.Target
	holder   *lease.Holder
	recorder *idempotency.Recorder
	tables   [idempotency.Slots]*idempotency.Table
	tokens   lease.TokenTracker
	// stopping is set before the leases are released, so that they are not
	// acquired again.
	stopping atomic.Bool
	// policy returns the configuration in force.
	policy func() *policy.Set
	// ownerOf returns the member that says it owns a slot.
	ownerOf func(fleet.Service, lease.Name) (fleet.Target, lease.Token, bool)
	// changed is given the leases that are held.
	changed func([]lease.Grant)
}

func newKeys(log *slog.Logger, own fleet.Target, tables store.Tables, fleetSize func() int) *keys {
	k := &keys{log: log, own: own}
	k.holder = lease.New(tables, own.Daemon, own.Incarnation,
		lease.WithVacant(k.vacant), lease.WithFleetSize(fleetSize))
	k.recorder = idempotency.NewRecorder(tables, own.Daemon, own.Incarnation)
	for slot := range k.tables {
		k.tables[slot] = idempotency.New(idempotency.LeaseName(own.Service, slot), k.holder.Grant,
			idempotency.WithRecorder(k.recorder))
	}
	return k
}

// vacant returns the slots of the own service that need an owner and have none
// that is known.
func (k *keys) vacant() []lease.Name {
	service := k.policy().Service(k.own.Service)
	if k.stopping.Load() || service == nil || !hasKeys(service) {
		return nil
	}
	var names []lease.Name
	for slot := range k.tables {
		name := idempotency.LeaseName(k.own.Service, slot)
		if _, _, known := k.ownerOf(k.own.Service, name); known {
			continue
		}
		names = append(names, name)
	}
	return names
}

func hasKeys(service *policy.Service) bool {
	for _, r := range service.Routes {
		if r.KeyRule == policy.KeyStamped || r.KeyRule == policy.KeyRecorded {
			return true
		}
	}
	return false
}

// owner returns the daemon that decides about the key of a request.
func (k *keys) owner(_ context.Context, service *policy.Service, r *call.Request) (fleet.Target, bool, error) {
	name := idempotency.LeaseName(service.Name, keyOf(r).Slot())
	if _, held := k.holder.Held(name); held {
		return k.own, true, nil
	}
	owner, _, known := k.ownerOf(service.Name, name)
	if known {
		return owner, false, nil
	}
	err := outcome.New(outcome.Unknown, outcome.KeyUnknown, "no owner of the key's slot is known")
	err.RetryAt = time.Now().Add(time.Second)
	return fleet.Target{}, false, err
}

// claim decides about the key of a request that this daemon owns.
func (k *keys) claim(ctx context.Context, service *policy.Service, r *call.Request) (*dispatch.Claim, error) {
	if service.Name != k.own.Service {
		return nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "this daemon owns no keys of the service")
	}
	head, _, err := r.Body.Head(r.ContentLength)
	if err != nil {
		return nil, outcome.New(outcome.Unknown, outcome.BadRequest, err.Error())
	}
	rule := service.Route(r.Method, r.Path).KeyRule
	table := k.tables[keyOf(r).Slot()]
	claim, first, err := table.Begin(ctx, rule, keyOf(r), idempotency.FingerprintOf(r.Method, r.URI, head))
	if err != nil {
		return nil, err
	}
	if first != nil {
		return &dispatch.Claim{StoredAnswer: repeated(first)}, nil
	}
	name, token := claim.Fence()
	return &dispatch.Claim{
		FencingToken: call.FencingToken{Slot: string(name), Token: uint64(token)},
		Finish:       func(f dispatch.Completion) { finish(claim, f) },
	}, nil
}

func keyOf(r *call.Request) idempotency.Key {
	return idempotency.Key{Organisation: r.Organisation, Value: r.Key}
}

func finish(claim *idempotency.Claim, f dispatch.Completion) {
	if !f.HasBody {
		claim.Finish(f.Outcome, nil)
		return
	}
	claim.Finish(f.Outcome, &idempotency.Response{Status: f.Status, Header: f.Header, Body: f.Body})
}

// repeated returns the first answer to a key as an answer of its own.
func repeated(a *idempotency.Response) *call.Answer {
	return bytesAnswer(outcome.Run, a.Status, a.Header, a.Body)
}

// fenced refuses an attempt under the token of an earlier owner.
func (k *keys) fenced(f call.FencingToken) error {
	if k.tokens.Observe(lease.Name(f.Slot), lease.Token(f.Token)) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.StaleAttempt, "the key's slot has a new owner")
}

// run holds leases and writes key records until ctx ends.
func (k *keys) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.holder.Run(ctx) })
	group.Go(func() error { return k.recorder.Run(ctx) })
	group.Go(func() error { return k.announce(ctx) })
	return group.Wait()
}

// announce tells membership which leases are held.
func (k *keys) announce(ctx context.Context) error {
	var last []lease.Grant
	return wait.Every(ctx, announceInterval, func() {
		if k.stopping.Load() {
			// Others would look at a lease before it is released, and then not
			// again before its expiry.
			return
		}
		grants := k.holder.Grants()
		slices.SortFunc(grants, func(a, b lease.Grant) int { return strings.Compare(string(a.Name), string(b.Name)) })
		if !slices.EqualFunc(grants, last, sameToken) {
			last = grants
			k.changed(grants)
		}
	})
}

func sameToken(a, b lease.Grant) bool {
	return a.Name == b.Name && a.Token == b.Token
}

// release waits for the claims under way and gives the leases back, so that
// the next owners need not wait for the leases to expire.
func (k *keys) release(ctx context.Context) {
	k.stopping.Store(true)
	var group errgroup.Group
	for slot, table := range k.tables {
		name := idempotency.LeaseName(k.own.Service, slot)
		if _, held := k.holder.Held(name); !held {
			continue
		}
		group.Go(func() error {
			accepted := table.Drain(ctx)
			return k.holder.Release(ctx, name, accepted)
		})
	}
	if err := group.Wait(); err != nil {
		k.log.Warn("not released; it ends by itself.", "error", err)
	}
	k.changed(nil)
}
