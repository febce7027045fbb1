// Package policy defines the rendered configuration that daemons apply to requests,
// by service and organisation.
//
// A Set is immutable. Package config renders it from the operators' templates; the
// other core packages read it.
package policy

import (
	"strings"
	"time"

	"pollenscale/core/fleet"
)

// KeyRule determines which keys are accepted and what detects a repeated
// idempotency key.
type KeyRule string

// The key rules.
const (
	// KeyNone ignores idempotency keys.
	KeyNone KeyRule = "None"
	// KeyStamped accepts UUIDv7 keys, which the slot's owner keeps in memory.
	KeyStamped KeyRule = "Stamped"
	// KeyRecorded accepts any key and records it in the table service.
	KeyRecorded KeyRule = "Recorded"
)

// Worth is the value of a request that is answered before its deadline, relative to
// other requests.
type Worth float64

// Share is a ratio between 0 and 1.
type Share float64

// Milliseconds is a duration in settings and declarations. A deadline is derived
// from it when it is used.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Rank is a priority class of a service's requests.
type Rank struct {
	Name  fleet.Rank
	Worth Worth
	// Timeout sets the deadline of requests that do not specify one.
	Timeout Milliseconds
	// Floor is the share of a target's capacity that is guaranteed to the rank
	// under overload by other ranks.
	Floor Share
}

// Route describes how requests with a given method and path prefix are handled.
type Route struct {
	Method     string
	PathPrefix string
	Idempotent bool
	KeyRule    KeyRule
	// Rank is the default rank of the route; if empty, that of the service applies.
	Rank fleet.Rank
	// Deferrable is set for routes that accept uploads for later delivery.
	Deferrable bool
}

// Retry bounds retries and hedged requests.
type Retry struct {
	// Share is the number of retries allowed per first attempt.
	Share Share
	// MaxAttempts bounds the attempts of one request; 0 means 3.
	MaxAttempts int
	// HedgeShare is the number of hedged requests allowed per first attempt.
	HedgeShare Share
}

// defaultMaxAttempts applies to services that set no MaxAttempts.
const defaultMaxAttempts = 3

// AttemptLimit returns the maximum number of attempts of one request.
func (r Retry) AttemptLimit() int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return defaultMaxAttempts
}

// Service is the policy of one service.
type Service struct {
	Name fleet.Service
	// Ranks are sorted from the most to the least urgent.
	Ranks       []Rank
	DefaultRank fleet.Rank
	// Routes are matched in order. The first match applies.
	Routes       []Route
	Retry        Retry
	MaxBodyBytes fleet.Bytes
	KeySlots     int
	// Organisations maps an organisation to its weight. Under contention, a target's
	// capacity is divided in proportion to the weights. The default is 1.
	Organisations       map[fleet.Organisation]float64
	DefaultOrganisation fleet.Organisation
	// ProbeShare is the number of probes allowed per request of a target.
	ProbeShare Share
	// LinkBytesPerSecond is the service's traffic budget between each pair of
	// regions.
	LinkBytesPerSecond fleet.Bytes
}

// Set is one version of the policies of all services.
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

// Rank returns the named rank and its index in Ranks; index 0 is the most urgent.
func (s *Service) Rank(name fleet.Rank) (Rank, int, bool) {
	for i := range s.Ranks {
		if s.Ranks[i].Name == name {
			return s.Ranks[i], i, true
		}
	}
	return Rank{}, 0, false
}

// Route returns the first matching route. If none matches it returns the zero Route,
// which is not idempotent and ignores keys.
func (s *Service) Route(method, path string) Route {
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return Route{}
}
