package dispatch

import (
	"io"
	"strconv"

	"pollenscale/core/call"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge is returned by the reader of a request body that exceeds the
// service's limit.
var ErrBodyTooLarge = errors.New("request body too large")

// prepare fills in what the request leaves to the configuration and refuses a
// request that the configuration does not allow.
func (d *Dispatcher) prepare(r *call.Request) (*policy.Service, policy.Route, error) {
	service := d.Policy().Service(r.Service)
	if service == nil {
		return nil, policy.Route{}, outcome.New(outcome.NotRun, outcome.UnknownService, "no service named "+strconv.Quote(string(r.Service)))
	}
	route := service.Route(r.Method, r.Path)
	r.Idempotent = route.Idempotent
	if r.Organisation == "" {
		r.Organisation = service.DefaultOrganisation
	}
	if err := d.rank(service, route, r); err != nil {
		return nil, policy.Route{}, err
	}
	if r.Depth >= maxDepth {
		return nil, policy.Route{}, outcome.New(outcome.NotRun, outcome.BadRequest, "more than "+strconv.Itoa(maxDepth)+" levels of calls")
	}
	return service, route, limitBody(service, r)
}

// rank sets rank and deadline.
func (d *Dispatcher) rank(service *policy.Service, route policy.Route, r *call.Request) error {
	if r.Rank == "" {
		r.Rank = route.Rank
	}
	if r.Rank == "" {
		r.Rank = service.DefaultRank
	}
	rank, _, ok := service.Rank(r.Rank)
	if !ok {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "Pollenscale-Rank: no rank named "+strconv.Quote(string(r.Rank)))
	}
	now := d.now()
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(rank.Timeout.Duration())
	}
	if !r.Deadline.After(now) {
		return outcome.New(outcome.NotRun, outcome.DeadlineExceed, "the deadline is past")
	}
	return nil
}

func limitBody(service *policy.Service, r *call.Request) error {
	limit := int64(service.MaxBodyBytes)
	if limit <= 0 {
		return nil
	}
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	if r.ContentLength < 0 {
		r.Body.Limit(limit, ErrBodyTooLarge)
	}
	return nil
}

func tooLarge(limit int64) error {
	return outcome.New(outcome.NotRun, outcome.TooLarge, "the body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
}

// bodyError describes a request body that could not be read before anything
// was sent.
func bodyError(err error) error {
	if errors.Is(err, ErrBodyTooLarge) {
		return outcome.New(outcome.NotRun, outcome.TooLarge, err.Error())
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "the body is shorter than its Content-Length")
	}
	return outcome.New(outcome.NotRun, outcome.BadRequest, "the body could not be read: "+err.Error())
}
