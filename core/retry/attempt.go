package retry

import (
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// Next returns the description of the attempt that failed with err, after the
// attempts that a describes. Refusals by a daemon count as redirects, all other
// failures as attempts that reached a target.
func (a Attempt) Next(err error, idempotent bool) Attempt {
	a.Outcome, a.Reason, a.Idempotent = outcome.Of(err), "", idempotent
	var e *outcome.Error
	if errors.As(err, &e) {
		a.Reason = e.Reason
	}
	if a.Redirected() {
		a.Redirects++
	} else {
		a.Number++
	}
	return a
}

// Redirected reports whether the attempt was refused before it cost its target
// anything.
func (a Attempt) Redirected() bool {
	return a.Outcome == outcome.NotRun && redirect(a.Reason)
}
