package sidecar

import (
	"net/http"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/route"
)

// detailUnproved is the detail of the response to a request with a key without a recent proof of
// the configuration.
const detailUnproved = "configuration may be out of date"

// authorize identifies the organisation of a request and returns the status and the detail
// of the response if the request must not run. A configuration that may be out of date
// neither accepts a key, which may have been removed, nor rejects one, which may have been
// added.
func (s *Sidecar) authorize(q *request, config *route.Config) (int, string) {
	accepted := q.identify(config)
	switch {
	case (q.organisation != nil || config.NeedsKey(q.route)) && !s.isFresh(config.Version):
		s.meters.unproved.Inc()
		return http.StatusServiceUnavailable, detailUnproved
	case !accepted:
		return http.StatusUnauthorized, "unknown key"
	}
	return 0, ""
}

// identify finds the organisation that holds the client's key, and sets the priority of the
// request. It reports whether the request has the key that its route needs. The key is
// removed from the request: it goes no further.
func (q *request) identify(config *route.Config) bool {
	q.organisation = config.Organisation(q.Key)
	q.Key = ""
	q.priority = q.route.Priority
	if q.organisation == nil {
		return !config.NeedsKey(q.route)
	}
	if q.organisation.Priority != nil {
		q.priority = *q.organisation.Priority
	}
	return true
}

// regions returns the regions in which the request may be served: those that both its route
// and its organisation allow.
func (q *request) regions() choice.Regions {
	allowed := allowedRegions(q.route.Regions)
	if q.organisation != nil {
		allowed = allowed.Intersect(allowedRegions(q.organisation.Regions))
	}
	return allowed
}

// allowedRegions returns the regions of a configuration entry, which allows all if it names
// none.
func allowedRegions(names route.Regions) choice.Regions {
	if len(names) == 0 {
		return choice.Regions{}
	}
	return choice.OnlyRegions(names...)
}

// organisationName returns the name of the client's organisation, empty if there is none.
func (q *request) organisationName() fleet.Organisation {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}
