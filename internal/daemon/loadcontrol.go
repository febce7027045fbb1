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

// refreshInterval is how often the queue checks for requests whose time has run out.
// When requests of the least or of the most urgent class flood the queue, admission must
// reach its steady-state shares within 10 ms.
const refreshInterval = 10 * time.Millisecond

// loadControl combines the components that decide under load: target choice and
// retry budgets on the entry side, queue and concurrency limit on the target side.
type loadControl struct {
	chooser *choice.Chooser
	queue   *admit.Queue
	limit   *limit.Limit
	// probeLimiter bounds the rate of answered probes.
	probeLimiter *probe.Limiter
	// waiting counts the requests that wait for a slot. wake holds a value if one
	// arrived since refreshQueue last checked.
	waiting atomic.Int64
	wake    chan struct{}

	mu      sync.Mutex
	budgets map[fleet.Service]*retry.Budget
	policy  *policy.Set
	// state is the last reported state of the target.
	state fleet.State
}

func newLoadControl(self fleet.Target, service *policy.Service) *loadControl {
	if service == nil {
		service = &policy.Service{Name: self.Service}
	}
	// The target may be warm already if only its daemon was restarted. A cold target
	// reports its state, and setState then begins the warm-up.
	l := limit.NewWarm(self.Slots)
	return &loadControl{
		chooser:      choice.New(self.Place),
		limit:        l,
		queue:        admit.New(service, l),
		probeLimiter: probe.NewLimiter(service.ProbeShare, time.Now()),
		wake:         make(chan struct{}, 1),
		budgets:      map[fleet.Service]*retry.Budget{},
		state:        fleet.Cold,
	}
}

// setState records the target's state, and begins a new warm-up of the limit if the
// target is cold or was restarted.
func (lc *loadControl) setState(state fleet.State) {
	lc.mu.Lock()
	before := lc.state
	lc.state = state
	lc.mu.Unlock()
	if state.TakesWork() && (state == fleet.Cold || before == fleet.Leaving) {
		lc.limit.ResetCold()
	}
}

// setPolicy applies a configuration to the own service's queue and to the retry
// budgets.
func (lc *loadControl) setPolicy(set *policy.Set, ownService fleet.Service) {
	if service := set.Service(ownService); service != nil {
		lc.queue.SetPolicy(service)
	}
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.policy = set
	for name, budget := range lc.budgets {
		if service := set.Service(name); service != nil {
			budget.SetPolicy(service.Retry)
		}
	}
}

// chooseTarget chooses the target of the next attempt.
func (lc *loadControl) chooseTarget(_ context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
	_, position, _ := c.Policy.Rank(c.Request.Rank)
	picked, err := lc.chooser.Pick(choice.Request{
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

// observe records the result of an attempt. The result of a request that was
// forwarded to a key's owner is ignored, since it tells nothing about a target.
func (lc *loadControl) observe(r dispatch.Result) {
	if r.HasLoad {
		lc.chooser.Observe(r.Load)
	}
	if r.Request.ForwardedToOwner {
		return
	}
	lc.chooser.DoneByID(r.Target.Daemon, r.Target.Incarnation, choice.Result{
		Refused: r.Outcome == outcome.NotRun,
		Failed:  countsAsFailure(r.Reason),
	})
}

// countsAsFailure reports whether an attempt with this reason counts against its target.
func countsAsFailure(reason outcome.Reason) bool {
	switch reason { //nolint:exhaustive // other reasons are not failures of the target
	case outcome.TargetFailed, outcome.TargetCrashed, outcome.ConnectionLost:
		return true
	}
	return false
}

// recordRequest credits the service's retry budget with a first attempt.
func (lc *loadControl) recordRequest(service *policy.Service, _ *call.Request) {
	lc.budget(service).RecordRequest()
}

// decideRetry decides about another attempt by the retry budget of the service. A
// request that was refused after it had waited in a target's queue is not retried.
// If the budget is exhausted, a request that was only redirected may queue at one
// last target.
func (lc *loadControl) decideRetry(service *policy.Service, r *call.Request, failed retry.Attempt) dispatch.Decision {
	queued := r.StartBy.IsZero() && (failed.Reason == outcome.Overloaded || failed.Reason == outcome.CannotFinish)
	if queued && failed.Redirected() {
		return dispatch.Stop
	}
	_, failed.Position, _ = service.Rank(r.Rank)
	if lc.budget(service).Allow(failed) {
		return dispatch.Retry
	}
	if failed.Redirected() {
		return dispatch.Queue
	}
	return dispatch.Stop
}

func (lc *loadControl) budget(service *policy.Service) *retry.Budget {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	budget := lc.budgets[service.Name]
	if budget == nil {
		budget = retry.New(service.Retry)
		lc.budgets[service.Name] = budget
	}
	return budget
}

// acquire waits for a slot of the target.
func (lc *loadControl) acquire(ctx context.Context, r *call.Request) (func(serve.Completion), error) {
	ticket, err := lc.acquireTicket(ctx, admit.Request{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Deadline:     r.Deadline,
		StartBy:      r.StartBy,
	})
	if err != nil {
		return nil, err
	}
	lc.probeLimiter.RecordRequest()
	return func(e serve.Completion) { release(ticket, e) }, nil
}

// release releases a slot. Only attempts that the target completed or failed itself
// count as samples for the limit.
func release(t *admit.Ticket, e serve.Completion) {
	switch {
	case e.Outcome == outcome.NotRun, e.Reason == outcome.Cancelled:
		t.ReleaseUnused()
	case e.Status >= http.StatusInternalServerError, countsAsFailure(e.Reason):
		t.Fail()
	default:
		t.Release()
	}
}

// refreshQueue refreshes the queue while requests wait in it, until ctx ends. It does
// not tick while the queue is empty, since an idle daemon would spend most of its CPU
// time on the ticks.
func (lc *loadControl) refreshQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-lc.wake:
		}
		for lc.waiting.Load() > 0 && wait.For(ctx, refreshInterval) {
			lc.queue.Refresh()
		}
	}
}

// acquireTicket waits for a slot and has the queue refreshed meanwhile.
func (lc *loadControl) acquireTicket(ctx context.Context, r admit.Request) (*admit.Ticket, error) {
	lc.waiting.Add(1)
	defer lc.waiting.Add(-1)
	select {
	case lc.wake <- struct{}{}:
	default:
	}
	return lc.queue.AcquireTicket(ctx, r)
}
