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

// parameter declares what a template can be filled in with. A parameter
// without Default must be given by each service.
type parameter struct {
	Description string
	Default     *strictjson.Node
}

// serviceFile is a file below services/, named for the service.
type serviceFile struct {
	Template   string `validate:"name"`
	Parameters map[string]*strictjson.Node
}

// organisationFile is a file below organisations/, named for the organisation.
// Parameters apply to all of the organisation's services, those in Services to
// one.
type organisationFile struct {
	Description string
	Parameters  map[string]*strictjson.Node
	Services    map[string]map[string]*strictjson.Node `validate:"min=1"`
}

// serviceSpec is the service of a template after it is filled in.
type serviceSpec struct {
	Ranks        []rankSpec  `validate:"min=1,max=16,dive"`
	DefaultRank  string      `validate:"required"`
	Routes       []routeSpec `validate:"max=256,dive"`
	Retry        retrySpec
	MaxBodyBytes int64 `validate:"min=1"`
	// KeySlots is fixed: with another number a key would move to a slot whose
	// owner does not know that it ran.
	KeySlots           int     `validate:"omitempty,eq=4"`
	ProbeShare         float64 `validate:"min=0,max=1"`
	LinkBytesPerSecond int64   `validate:"min=0"`
	// DefaultOrganisation is that of requests which name none.
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

// keySlots is the number of slots of idempotency keys of each service.
const keySlots = 4

// nameOf returns the name of a document: the file name without suffix.
func nameOf(file string) string {
	return strings.TrimSuffix(path.Base(file), documentSuffix)
}

// check reports what no single value shows: ranks and routes that contradict
// each other.
func (s *serviceSpec) check(at strictjson.Positions) strictjson.Errors {
	var problems strictjson.Errors
	fail := func(path, format string, args ...any) {
		problems = append(problems, at.Problem(path, format, args...))
	}
	names := map[string]bool{}
	floors := 0.0
	for i, r := range s.Ranks {
		if names[r.Name] {
			fail(index("Ranks", i)+".Name", "rank %q is declared twice", r.Name)
		}
		names[r.Name] = true
		floors += r.Floor
	}
	if floors > 1 {
		fail("Ranks", "the floors must add up to at most 1, add up to %.3g", floors)
	}
	known := "must be one of the ranks " + strings.Join(s.rankNames(), ", ")
	if !names[s.DefaultRank] {
		fail("DefaultRank", "%s, is %q", known, s.DefaultRank)
	}
	for i, r := range s.Routes {
		if r.Rank != "" && !names[r.Rank] {
			fail(index("Routes", i)+".Rank", "%s, is %q", known, r.Rank)
		}
		if j := s.shadow(i); j >= 0 {
			fail(index("Routes", i), "never matches, since %s matches first", index("Routes", j))
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

// shadow returns the earlier route that takes all requests of route i, or -1.
func (s *serviceSpec) shadow(i int) int {
	r := s.Routes[i]
	for j, earlier := range s.Routes[:i] {
		if (earlier.Method == "" || earlier.Method == r.Method) && strings.HasPrefix(r.PathPrefix, earlier.PathPrefix) {
			return j
		}
	}
	return -1
}

// policy converts the checked declaration.
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

// warnings names changes of the key rule of a route that services of both sets
// have. A key that ran under the earlier rule may be unknown under the later.
func warnings(before, after *policy.Set) []string {
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
			was := old.Route(r.Method, r.PathPrefix).KeyRule
			if was != r.KeyRule && was != policy.KeyNone && was != "" {
				out = append(out, fmt.Sprintf("%s: the key rule of %s %s changes from %s to %s; a key sent before may run again if it is repeated after",
					name, r.Method, r.PathPrefix, was, r.KeyRule))
			}
		}
	}
	return out
}
