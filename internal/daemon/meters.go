package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the metrics of requests and attempts. Label values come only from the
// configuration and from enums, so that callers cannot create time series.
type meters struct {
	policy func() *policy.Set
	set    *metrics.Set

	requests sync.Map // requestLabels to *requestMeter
	attempts sync.Map // attemptLabels to *metrics.Counter
}

type requestLabels struct {
	service fleet.Service
	rank    fleet.Rank
	outcome outcome.Outcome
}

type requestMeter struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

type attemptLabels struct {
	service fleet.Service
	outcome outcome.Outcome
	reason  outcome.Reason
}

// countRequests wraps next to count requests and measure the time up to the head of
// the answer.
func (m *meters) countRequests(next doFunc) doFunc {
	return func(ctx context.Context, r *call.Request) (*call.Answer, error) {
		start := time.Now()
		answer, err := next(ctx, r)
		meter := m.requestMeter(r, outcome.Of(err))
		meter.total.Inc()
		meter.seconds.UpdateDuration(start)
		return answer, err
	}
}

func (m *meters) requestMeter(r *call.Request, o outcome.Outcome) *requestMeter {
	labels := requestLabels{outcome: o}
	if service := m.policy().Service(r.Service); service != nil {
		labels.service = service.Name
		if rank, _, ok := service.Rank(r.Rank); ok {
			labels.rank = rank.Name
		}
	}
	if meter, ok := m.requests.Load(labels); ok {
		return meter.(*requestMeter)
	}
	text := fmt.Sprintf(`{service=%q,rank=%q,outcome=%q}`, labels.service, labels.rank, labels.outcome)
	meter, _ := m.requests.LoadOrStore(labels, &requestMeter{
		total:   m.set.GetOrCreateCounter("pollenscale_requests_total" + text),
		seconds: m.set.GetOrCreateHistogram("pollenscale_request_seconds" + text),
	})
	return meter.(*requestMeter)
}

// countAttempt counts a completed attempt.
func (m *meters) countAttempt(r dispatch.Result) {
	labels := attemptLabels{service: r.Target.Service, outcome: r.Outcome, reason: r.Reason}
	counter, ok := m.attempts.Load(labels)
	if !ok {
		name := fmt.Sprintf(`pollenscale_attempts_total{service=%q,outcome=%q,reason=%q}`, labels.service, labels.outcome, labels.reason)
		counter, _ = m.attempts.LoadOrStore(labels, m.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}
