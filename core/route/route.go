// Package route holds the routing configuration: which service serves a host and
// path, and whether requests there may be retried.
package route

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
)

// Version orders configurations. Versions increase, but are not consecutive.
type Version uint64

// Kind says whether requests of a route may run more than once.
type Kind string

// The kinds of routes.
const (
	Safe     Kind = "Safe"     // may run more than once
	Unsafe   Kind = "Unsafe"   // runs at most once for each client attempt
	Upload   Kind = "Upload"   // unsafe, with large bodies
	Download Kind = "Download" // safe, with large responses
)

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service fleet.Service
	Weight  float64
}

// Route describes how requests to one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective: the time within which an answer has its
	// full value.
	Objective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority    int
	MaxAttempts int
	Services    []WeightedService
	// Public routes need no key.
	Public bool
	// Regions are the only regions in which requests may be served; all if empty.
	Regions Regions
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Download }

// Service holds the connection settings for the targets of a service.
type Service struct {
	Name           fleet.Service
	HealthPath     string
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a cold target takes, 0 for no
	// limit.
	ColdPerSecond float64
}

// Limits bound the size of client requests and the time that clients may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routing configuration. It is immutable.
type Config struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired is set if routes that are not public need a key. It is also set if all
	// organisations were left out: that must not open the routes to everyone.
	KeysRequired bool
	Limits       Limits
	// Omitted describes the parts that were left out because they cannot be applied.
	Omitted []string

	hosts map[string][]*Route // longest prefix first
	keys  map[KeyDigest]*Organisation
	names map[fleet.Organisation]*Organisation
}

// New indexes the routes of a configuration by host and its organisations by key. A route
// that cannot be applied is left out and described in Omitted: it must not take the others
// away.
func New(c Config) (*Config, error) {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(); err != nil {
			c.Omitted = append(c.Omitted, errors.Wrapf(err, "route %q", r.Name).Error())
			continue
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	if len(c.Routes) > 0 && len(c.hosts) == 0 {
		return nil, errors.Newf("no route can be applied: %s", c.Omitted[0])
	}
	c.indexKeys()
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &c, nil
}

func (r *Route) validate() error {
	switch {
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload && r.Kind != Download:
		return errors.Newf("unknown route kind %q", r.Kind)
	case r.Timeout <= 0:
		return errors.New("timeout must be positive")
	case len(r.Services) == 0:
		return errors.New("services must not be empty")
	}
	total := 0.0
	for _, s := range r.Services {
		if s.Weight < 0 || s.Service == "" {
			return errors.Newf("invalid service %q with weight %g: the name must not be empty and the weight not negative", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("at least one service must have a positive weight")
	}
	return nil
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	routes, ok := c.hosts[host]
	if !ok {
		host, _, _ = strings.Cut(strings.ToLower(host), ":")
		routes = c.hosts[host]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (c *Config) Service(name fleet.Service) *Service {
	if c == nil {
		return nil
	}
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Pick returns the service for a request. Requests are distributed by a hash of
// their id, so that the weights hold across all daemons without coordination.
func (r *Route) Pick(id string) fleet.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:gosec // a hash accepts all bytes
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	at := float64(x>>11) / (1 << 53) * total
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}

// rejectOlderVersions is a mechanism that tests can switch off.
var rejectOlderVersions = mutant.New("route/versions-never-go-back")

// Holder holds the configuration in force. An older version never replaces a newer
// one.
type Holder struct {
	// OnChange is called after a version has come into force, in the order of
	// versions and with a lock held.
	OnChange func(old, now *Config)

	mu      sync.Mutex
	current atomic.Pointer[Config]
	raw     []byte
}

// Current returns the configuration in force, or nil.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, or 0 if there is none.
func (h *Holder) Version() Version {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Raw returns the configuration in force in its encoded form, as it was read.
func (h *Holder) Raw() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// SetIfNewer puts c into force if it is newer than the version in force, and
// reports whether it did.
func (h *Holder) SetIfNewer(c *Config, raw []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && c.Version <= old.Version && !rejectOlderVersions.Off() {
		return false
	}
	h.current.Store(c)
	h.raw = raw
	if h.OnChange != nil {
		h.OnChange(old, c)
	}
	return true
}
