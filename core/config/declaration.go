package config

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/internal/strictjson"
)

// templateFile is a file below templates/. Any value in Service may be a
// reference such as "${Timeout}" to a parameter.
type templateFile struct {
	Description string
	Parameters  map[string]parameter
	Service     *strictjson.Node `validate:"required"`
}

// parameter declares a parameter of a template. A parameter without Default must
// be set by each service.
type parameter struct {
	Description string
	Default     *strictjson.Node
}

// serviceFile is a file below services/. The file is named after the service.
type serviceFile struct {
	Template   string `validate:"name"`
	Parameters map[string]*strictjson.Node
}

// organisationFile is a file below organisations/. The file is named after the
// organisation. Parameters apply to all services of the organisation, those in
// Services to a single service.
type organisationFile struct {
	Description string
	Parameters  map[string]*strictjson.Node
	Services    map[string]map[string]*strictjson.Node `validate:"min=1"`
}

// serviceSpec is the service section of a template after its expansion.
type serviceSpec struct {
	Ranks        []rankSpec  `validate:"min=1,max=16,dive"`
	DefaultRank  string      `validate:"required"`
	Routes       []routeSpec `validate:"max=256,dive"`
	Retry        retrySpec
	MaxBodyBytes int64 `validate:"min=1"`
	// KeySlots is fixed. With another number, a key would map to a different slot,
	// whose owner does not know that the request already ran.
	KeySlots           int     `validate:"omitempty,eq=4"`
	ProbeShare         float64 `validate:"min=0,max=1"`
	LinkBytesPerSecond int64   `validate:"min=0"`
	// DefaultOrganisation applies to requests that name no organisation.
	DefaultOrganisation string
	Organisation        organisationSpec
}

type rankSpec struct {
	Name  string  `validate:"name"`
	Worth float64 `validate:"gt=0,max=1000000"`
	// TimeoutMilliseconds is at most one hour.
	TimeoutMilliseconds int64   `validate:"min=1,max=3600000"`
	Floor               float64 `validate:"min=0,max=1"`
}

type routeSpec struct {
	Method     string `validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	PathPrefix string `validate:"startswith=/"`
	Idempotent bool
	KeyRule    string `validate:"omitempty,oneof=None Stamped Recorded"`
	Rank       string
	Deferrable bool
}

type retrySpec struct {
	Share       float64 `validate:"min=0,max=1"`
	MaxAttempts int     `validate:"min=1,max=10"`
	HedgeShare  float64 `validate:"min=0,max=1"`
}

type organisationSpec struct {
	// Share is relative to the other organisations.
	Share float64 `validate:"gt=0,max=1000000"`
}

// keySlots is the number of slots into which a service's idempotency keys are
// partitioned.
const keySlots = 4

// documentName returns the name of a document: its file name without the suffix.
func documentName(file string) string {
	return strings.TrimSuffix(path.Base(file), documentSuffix)
}

// check validates the constraints between fields: ranks and routes must be
// consistent with each other.
func (s *serviceSpec) check(at strictjson.Positions) strictjson.Errors {
	var problems strictjson.Errors
	report := func(path, format string, args ...any) {
		problems = append(problems, at.Problem(path, format, args...))
	}
	names := map[string]bool{}
	floors := 0.0
	for i, r := range s.Ranks {
		if names[r.Name] {
			report(indexedPath("Ranks", i)+".Name", "rank %q is declared twice", r.Name)
		}
		names[r.Name] = true
		floors += r.Floor
	}
	if floors > 1 {
		report("Ranks", "the floors must add up to at most 1, add up to %.3g", floors)
	}
	expected := "must be one of the ranks " + strings.Join(s.rankNames(), ", ")
	if !names[s.DefaultRank] {
		report("DefaultRank", "%s, is %q", expected, s.DefaultRank)
	}
	for i, r := range s.Routes {
		if r.Rank != "" && !names[r.Rank] {
			report(indexedPath("Routes", i)+".Rank", "%s, is %q", expected, r.Rank)
		}
		if j := s.shadowedBy(i); j >= 0 {
			report(indexedPath("Routes", i), "never matches, since %s matches first", indexedPath("Routes", j))
		}
	}
	return problems
}

func (s *serviceSpec) rankNames() []string {
	names := make([]string, len(s.Ranks))
	for i := range s.Ranks {
		names[i] = s.Ranks[i].Name
	}
	return names
}

// shadowedBy returns the index of an earlier route that matches all requests of
// route i, or -1.
func (s *serviceSpec) shadowedBy(i int) int {
	r := s.Routes[i]
	for j, earlier := range s.Routes[:i] {
		if (earlier.Method == "" || earlier.Method == r.Method) && strings.HasPrefix(r.PathPrefix, earlier.PathPrefix) {
			return j
		}
	}
	return -1
}

// policy converts a validated declaration.
func (s *serviceSpec) policy(name fleet.Service) *policy.Service {
	out := &policy.Service{
		Name:                name,
		DefaultRank:         fleet.Rank(s.DefaultRank),
		Retry:               policy.Retry{Share: policy.Share(s.Retry.Share), MaxAttempts: s.Retry.MaxAttempts, HedgeShare: policy.Share(s.Retry.HedgeShare)},
		MaxBodyBytes:        fleet.Bytes(s.MaxBodyBytes),
		KeySlots:            keySlots,
		Organisations:       map[fleet.Organisation]float64{},
		DefaultOrganisation: fleet.Organisation(s.DefaultOrganisation),
		ProbeShare:          policy.Share(s.ProbeShare),
		LinkBytesPerSecond:  fleet.Bytes(s.LinkBytesPerSecond),
	}
	for _, r := range s.Ranks {
		out.Ranks = append(out.Ranks, policy.Rank{
			Name: fleet.Rank(r.Name), Worth: policy.Worth(r.Worth),
			Timeout: policy.Milliseconds(r.TimeoutMilliseconds), Floor: policy.Share(r.Floor),
		})
	}
	for _, r := range s.Routes {
		rule := policy.KeyRule(r.KeyRule)
		if rule == "" {
			rule = policy.KeyNone
		}
		out.Routes = append(out.Routes, policy.Route{
			Method: r.Method, PathPrefix: r.PathPrefix, Idempotent: r.Idempotent, KeyRule: rule,
			Rank: fleet.Rank(r.Rank), Deferrable: r.Deferrable,
		})
	}
	return out
}

// keyRuleWarnings reports routes whose key rule changes, for the services that are
// in both sets. A key whose request ran under the old rule may be unknown under the
// new one, so that a repeated request may run again.
func keyRuleWarnings(before, after *policy.Set) []string {
	var out []string
	if before == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		old := before.Service(name)
		if old == nil {
			continue
		}
		for _, r := range after.Services[name].Routes {
			oldRule := old.Route(r.Method, r.PathPrefix).KeyRule
			if oldRule != r.KeyRule && oldRule != policy.KeyNone && oldRule != "" {
				out = append(out, fmt.Sprintf("%s: the key rule of %s %s changes from %s to %s; a key sent before may run again if it is repeated after",
					name, r.Method, r.PathPrefix, oldRule, r.KeyRule))
			}
		}
	}
	return out
}
