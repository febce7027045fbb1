// Package policy holds the rendered configuration: what the daemons apply to
// requests, per service and organisation.
//
// A Set is immutable once built. Package config renders it from the operators'
// templates; the other core packages read it.
package policy

import (
	"strings"
	"time"

	"pollenscale/core/fleet"
)

// KeyRule says who decides about a repeated idempotency key.
type KeyRule string

// The key rules.
const (
	// KeyNone ignores idempotency keys.
	KeyNone KeyRule = "None"
	// KeyStamped takes UUIDv7 keys, kept in the memory of the slot's owner.
	KeyStamped KeyRule = "Stamped"
	// KeyRecorded takes any key, recorded in the table service.
	KeyRecorded KeyRule = "Recorded"
)

// Worth is the relative value of a request that is answered in time.
type Worth float64

// Share is a fraction between 0 and 1.
type Share float64

// Milliseconds is a length of time in settings and declarations. It is turned
// into a deadline when it is used.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Rank is one class of requests of a service.
type Rank struct {
	Name  fleet.Rank
	Worth Worth
	// Timeout sets the deadline of requests that state none.
	Timeout Milliseconds
	// Floor is the share of a target's capacity that the rank keeps in a flood
	// of other ranks.
	Floor Share
}

// Route says how requests of one method and path prefix are treated.
type Route struct {
	Method     string
	PathPrefix string
	Idempotent bool
	KeyRule    KeyRule
	// Rank is the default rank; empty means the service's default.
	Rank fleet.Rank
	// Deferrable routes accept uploads for later delivery.
	Deferrable bool
}

// Retry bounds retries and hedged requests.
type Retry struct {
	// Share is the number of retries allowed for each first attempt.
	Share Share
	// MaxAttempts bounds the attempts of one request; 0 means 3.
	MaxAttempts int
	// HedgeShare is the number of hedged requests allowed for each first attempt.
	HedgeShare Share
}

// defaultAttempts applies to services that set no MaxAttempts.
const defaultAttempts = 3

// AttemptLimit returns the most attempts of one request.
func (r Retry) AttemptLimit() int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return defaultAttempts
}

// Service is the policy of one service.
type Service struct {
	Name fleet.Service
	// Ranks are ordered from the most to the least urgent.
	Ranks       []Rank
	DefaultRank fleet.Rank
	// Routes are matched in order; the first match applies.
	Routes       []Route
	Retry        Retry
	MaxBodyBytes fleet.Bytes
	KeySlots     int
	// Organisations maps an organisation to its share of a target's capacity
	// under contention, relative to the other organisations; default 1.
	Organisations       map[fleet.Organisation]float64
	DefaultOrganisation fleet.Organisation
	// ProbeShare is the number of probes allowed for each request of a target.
	ProbeShare Share
	// LinkBytesPerSecond is the budget of each region pair for the service.
	LinkBytesPerSecond fleet.Bytes
}

// Set is the configuration in force: one version of all services.
type Set struct {
	Version  uint64
	Digest   string
	Services map[fleet.Service]*Service
}

// Service returns the policy of the named service, or nil.
func (s *Set) Service(name fleet.Service) *Service {
	if s == nil {
		return nil
	}
	return s.Services[name]
}

// Rank returns the named rank and its position, 0 being the most urgent.
func (s *Service) Rank(name fleet.Rank) (Rank, int, bool) {
	for i := range s.Ranks {
		if s.Ranks[i].Name == name {
			return s.Ranks[i], i, true
		}
	}
	return Rank{}, 0, false
}

// Route returns the first route that matches, or the zero Route, which is not
// idempotent and ignores keys.
func (s *Service) Route(method, path string) Route {
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return Route{}
}
