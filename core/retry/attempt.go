package retry

import (
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// Next returns the description of an attempt that failed with err and followed
// the attempts that a describes. Refusals by a daemon count as redirects, all
// other failures as attempts that reached a target.
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

// Redirected reports whether the attempt was refused without any cost to its
// target, and so counts as a redirect.
func (a Attempt) Redirected() bool {
	return a.Outcome == outcome.NotRun && isRedirect(a.Reason)
}
