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

// announceInterval bounds the delay before a new lease is announced to other daemons.
const announceInterval = 200 * time.Millisecond

// keys implements idempotency keys. It resolves the owner of a key, and acts as the
// owner for the key slots whose leases it holds.
type keys struct {
	log      *slog.Logger
	self     fleet.Target
	holder   *lease.Holder
	recorder *idempotency.Recorder
	tables   [idempotency.KeySlots]*idempotency.Table
	tokens   lease.TokenTracker
	// stopping is set before the leases are released, so that they are not acquired
	// again.
	stopping atomic.Bool
	// policy returns the configuration in force.
	policy func() *policy.Set
	// keySlotOwner returns the member that announces itself as the owner of a slot.
	keySlotOwner func(fleet.Service, lease.Name) (fleet.Target, lease.Token, bool)
	// onGrantsChange is called with the leases held, when they have changed.
	onGrantsChange func([]lease.Grant)
}

func newKeys(log *slog.Logger, self fleet.Target, tables store.Tables, fleetSize func() int) *keys {
	k := &keys{log: log, self: self}
	k.holder = lease.New(tables, self.Daemon, self.Incarnation,
		lease.WithVacant(k.vacantSlots), lease.WithFleetSize(fleetSize))
	k.recorder = idempotency.NewRecorder(tables, self.Daemon, self.Incarnation)
	for slot := range k.tables {
		k.tables[slot] = idempotency.New(idempotency.LeaseName(self.Service, slot), k.holder.Grant,
			idempotency.WithRecorder(k.recorder))
	}
	return k
}

// vacantSlots returns the lease names of the own service's slots that need an owner
// and have no known one.
func (k *keys) vacantSlots() []lease.Name {
	service := k.policy().Service(k.self.Service)
	if k.stopping.Load() || service == nil || !hasKeys(service) {
		return nil
	}
	var names []lease.Name
	for slot := range k.tables {
		name := idempotency.LeaseName(k.self.Service, slot)
		if _, _, known := k.keySlotOwner(k.self.Service, name); known {
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

// resolveOwner returns the daemon that owns the slot of a request's key, and whether
// it is this one.
func (k *keys) resolveOwner(_ context.Context, service *policy.Service, r *call.Request) (fleet.Target, bool, error) {
	name := idempotency.LeaseName(service.Name, keyOf(r).Slot())
	if _, held := k.holder.Held(name); held {
		return k.self, true, nil
	}
	owner, _, known := k.keySlotOwner(service.Name, name)
	if known {
		return owner, false, nil
	}
	err := outcome.New(outcome.Unknown, outcome.KeyUnknown, "no owner of the key's slot is known")
	err.RetryAt = time.Now().Add(time.Second)
	return fleet.Target{}, false, err
}

// claim claims the key of a request as the owner of its slot. If the request has been
// answered before, the claim holds the stored answer.
func (k *keys) claim(ctx context.Context, service *policy.Service, r *call.Request) (*dispatch.Claim, error) {
	if service.Name != k.self.Service {
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
		return &dispatch.Claim{StoredAnswer: storedAnswer(first)}, nil
	}
	name, token := claim.FencingToken()
	return &dispatch.Claim{
		FencingToken: call.FencingToken{Slot: string(name), Token: uint64(token)},
		Finish:       func(f dispatch.Completion) { finishClaim(claim, f) },
	}, nil
}

func keyOf(r *call.Request) idempotency.Key {
	return idempotency.Key{Organisation: r.Organisation, Value: r.Key}
}

func finishClaim(claim *idempotency.Claim, f dispatch.Completion) {
	if !f.HasBody {
		claim.Finish(f.Outcome, nil)
		return
	}
	claim.Finish(f.Outcome, &idempotency.Response{Status: f.Status, Header: f.Header, Body: f.Body})
}

// storedAnswer converts the recorded response to a key's first request to an answer.
func storedAnswer(a *idempotency.Response) *call.Answer {
	return bytesAnswer(outcome.Run, a.Status, a.Header, a.Body)
}

// checkFence rejects an attempt that carries the fencing token of an earlier owner.
func (k *keys) checkFence(f call.FencingToken) error {
	if k.tokens.Observe(lease.Name(f.Slot), lease.Token(f.Token)) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.StaleAttempt, "the key's slot has a new owner")
}

// run acquires, renews and announces leases and writes key records until ctx ends.
func (k *keys) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.holder.Run(ctx) })
	group.Go(func() error { return k.recorder.Run(ctx) })
	group.Go(func() error { return k.announceGrants(ctx) })
	return group.Wait()
}

// announceGrants announces the held leases through membership whenever they change.
func (k *keys) announceGrants(ctx context.Context) error {
	var last []lease.Grant
	return wait.Every(ctx, announceInterval, func() {
		if k.stopping.Load() {
			// If the loss of a lease were announced before its release, another daemon
			// would read the lease too early and not again before its expiry.
			return
		}
		grants := k.holder.Grants()
		slices.SortFunc(grants, func(a, b lease.Grant) int { return strings.Compare(string(a.Name), string(b.Name)) })
		if !slices.EqualFunc(grants, last, sameToken) {
			last = grants
			k.onGrantsChange(grants)
		}
	})
}

func sameToken(a, b lease.Grant) bool {
	return a.Name == b.Name && a.Token == b.Token
}

// releaseLeases waits for the claims in progress and releases the leases, so that the
// next owners need not wait for their expiry.
func (k *keys) releaseLeases(ctx context.Context) {
	k.stopping.Store(true)
	var group errgroup.Group
	for slot, table := range k.tables {
		name := idempotency.LeaseName(k.self.Service, slot)
		if _, held := k.holder.Held(name); !held {
			continue
		}
		group.Go(func() error {
			accepted := table.Drain(ctx)
			return k.holder.Release(ctx, name, accepted)
		})
	}
	if err := group.Wait(); err != nil {
		k.log.Warn("a lease was not released; it stays held until it expires.", "error", err)
	}
	k.onGrantsChange(nil)
}
