package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/call"
	"pollenscale/core/choice"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/limit"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/probe"
	"pollenscale/core/retry"
	"pollenscale/core/serve"
	"pollenscale/core/wait"
)

// refreshInterval is how often the queue looks for requests whose time has run
// out. Both kinds of flood must shift within 10 ms.
const refreshInterval = 10 * time.Millisecond

// balance joins the decisions under load: the choice of target and the retry
// budgets of the entry side, the queue and the limit of the target side.
type balance struct {
	chooser *choice.Chooser
	queue   *admit.Queue
	limit   *limit.Limit
	// gate bounds the probes of the target.
	gate *probe.Limiter
	// waiting counts the requests that have no slot yet; arrived has an entry
	// when one came in since run last looked.
	waiting atomic.Int64
	arrived chan struct{}

	mu      sync.Mutex
	budgets map[fleet.Service]*retry.Budget
	policy  *policy.Set
	// state is the last state of the target.
	state fleet.State
}

func newBalance(own fleet.Target, service *policy.Service) *balance {
	if service == nil {
		service = &policy.Service{Name: own.Service}
	}
	// A target that is cold says so; until then its daemon may have been
	// restarted beside a target at full speed.
	l := limit.NewWarm(own.Slots)
	return &balance{
		chooser: choice.New(own.Place),
		limit:   l,
		queue:   admit.New(service, l),
		gate:    probe.NewLimiter(service.ProbeShare, time.Now()),
		arrived: make(chan struct{}, 1),
		budgets: map[fleet.Service]*retry.Budget{},
		state:   fleet.Cold,
	}
}

// setState warms the target up when it is cold or was started again.
func (b *balance) setState(state fleet.State) {
	b.mu.Lock()
	before := b.state
	b.state = state
	b.mu.Unlock()
	if state.TakesWork() && (state == fleet.Cold || before == fleet.Leaving) {
		b.limit.ResetCold()
	}
}

// setPolicy puts a configuration in force for the own service's queue and for
// the retry budgets.
func (b *balance) setPolicy(set *policy.Set, own fleet.Service) {
	if service := set.Service(own); service != nil {
		b.queue.SetPolicy(service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = set
	for name, budget := range b.budgets {
		if service := set.Service(name); service != nil {
			budget.SetPolicy(service.Retry)
		}
	}
}

// choose picks the target of the next attempt.
func (b *balance) choose(_ context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
	_, position, _ := c.Policy.Rank(c.Request.Rank)
	picked, err := b.chooser.Pick(choice.Request{
		Service: c.Request.Service,
		Urgent:  position == 0,
		Tried:   c.Tried,
		Hint:    c.Hint,
		Final:   c.Final,
	})
	if err != nil {
		return fleet.Target{}, err
	}
	c.Request.StartBy = picked.StartBy
	return *picked.Target, nil
}

// observe records how an attempt ended. The results of requests that were
// forwarded to a key's owner say nothing about a target.
func (b *balance) observe(r dispatch.Result) {
	if r.HasLoad {
		b.chooser.Observe(r.Load)
	}
	if r.Request.ForwardedToOwner {
		return
	}
	b.chooser.DoneByID(r.Target.Daemon, r.Target.Incarnation, choice.Result{
		Refused: r.Outcome == outcome.NotRun,
		Failed:  failed(r.Reason),
	})
}

// failed reports whether an attempt with this reason counts against its target.
func failed(reason outcome.Reason) bool {
	switch reason { //nolint:exhaustive // the others are no failures of the target
	case outcome.TargetFailed, outcome.TargetCrashed, outcome.ConnectionLost:
		return true
	}
	return false
}

// called counts a first attempt.
func (b *balance) called(service *policy.Service, _ *call.Request) {
	b.budget(service).RecordRequest()
}

// mayRetry asks the budget of the service. A request that was refused by the
// queue that it waited in ends; one that the budget lets go no further waits in
// the queue of a last target.
func (b *balance) mayRetry(service *policy.Service, r *call.Request, failed retry.Attempt) dispatch.Decision {
	queued := r.StartBy.IsZero() && (failed.Reason == outcome.Overloaded || failed.Reason == outcome.CannotFinish)
	if queued && failed.Redirected() {
		return dispatch.Stop
	}
	_, failed.Position, _ = service.Rank(r.Rank)
	if b.budget(service).Allow(failed) {
		return dispatch.Retry
	}
	if failed.Redirected() {
		return dispatch.Queue
	}
	return dispatch.Stop
}

func (b *balance) budget(service *policy.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service.Name]
	if budget == nil {
		budget = retry.New(service.Retry)
		b.budgets[service.Name] = budget
	}
	return budget
}

// acquire waits for a slot of the target.
func (b *balance) acquire(ctx context.Context, r *call.Request) (func(serve.Completion), error) {
	ticket, err := b.enter(ctx, admit.Request{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Deadline:     r.Deadline,
		StartBy:      r.StartBy,
	})
	if err != nil {
		return nil, err
	}
	b.gate.RecordRequest()
	return func(e serve.Completion) { release(ticket, e) }, nil
}

// release gives a slot back. Only what the target did itself is measured.
func release(t *admit.Ticket, e serve.Completion) {
	switch {
	case e.Outcome == outcome.NotRun, e.Reason == outcome.Cancelled:
		t.ReleaseUnused()
	case e.Status >= http.StatusInternalServerError, failed(e.Reason):
		t.Fail()
	default:
		t.Release()
	}
}

// run refreshes the queue while requests wait in it, until ctx ends. An idle
// daemon would spend most of its processor time on the ticks.
func (b *balance) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.arrived:
		}
		for b.waiting.Load() > 0 && wait.For(ctx, refreshInterval) {
			b.queue.Refresh()
		}
	}
}

// enter waits for a slot and keeps the queue refreshed meanwhile.
func (b *balance) enter(ctx context.Context, r admit.Request) (*admit.Ticket, error) {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	return b.queue.AcquireTicket(ctx, r)
}
