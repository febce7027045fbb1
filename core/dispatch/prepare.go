package dispatch

import (
	"io"
	"os"
	"strconv"

	"pollenscale/core/call"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"

	"github.com/cockroachdb/errors"
)

// prepare fills in the fields of the request that have defaults in the
// configuration and refuses a request that the configuration does not allow. The
// route, if there is one, is returned with an error too.
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
	if err := d.setRankAndDeadline(service, route, r); err != nil {
		return nil, route, err
	}
	if r.Depth >= maxDepth {
		return nil, route, outcome.New(outcome.NotRun, outcome.BadRequest, "more than "+strconv.Itoa(maxDepth)+" levels of calls")
	}
	return service, route, limitBody(service, r)
}

// setRankAndDeadline sets the default rank if the request has none, and the
// deadline by the rank's timeout if the request has none.
func (d *Dispatcher) setRankAndDeadline(service *policy.Service, route policy.Route, r *call.Request) error {
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
		return outcome.New(outcome.NotRun, outcome.DeadlineExceeded, "the deadline is past")
	}
	return nil
}

func limitBody(service *policy.Service, r *call.Request) error {
	limit := int64(service.MaxBodyBytes)
	if limit <= 0 {
		return nil
	}
	if r.ContentLength > limit {
		return tooLarge(outcome.NotRun, limit)
	}
	if r.ContentLength < 0 {
		r.Body.Limit(limit, tooLarge(outcome.Unknown, limit))
	}
	return nil
}

func tooLarge(o outcome.Outcome, limit int64) error {
	return outcome.New(o, outcome.TooLarge, "the body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
}

// bodyReadError returns the error for a request body that could not be read
// before any attempt was sent.
func bodyReadError(err error) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		notRun := *e
		notRun.Outcome = outcome.NotRun
		return &notRun
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "the body was sent too slowly")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "the body is shorter than its Content-Length")
	}
	return outcome.New(outcome.NotRun, outcome.BadRequest, "the body could not be read: "+err.Error())
}
