// Package route holds the routing configuration: which service serves a host
// and path, and what may be repeated there.
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

// Version orders configurations. Versions rise in uneven steps.
type Version uint64

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "Safe"   // may run more than once
	Unsafe Kind = "Unsafe" // runs at most once for each client attempt
	Upload Kind = "Upload" // unsafe, with large bodies
)

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service fleet.Service
	Weight  float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority    int
	MaxAttempts int
	Services    []WeightedService
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe }

// Service says how targets of a service are spoken to.
type Service struct {
	Name           fleet.Service
	HealthPath     string
	MaxConnections int
}

// Limits bound what a client may send and how long it may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routing configuration. It is never changed.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts map[string][]*Route // longest prefix first
}

// New indexes a configuration and checks it.
func New(c Config) (*Config, error) {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &c, nil
}

func (r *Route) check() error {
	switch {
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload:
		return errors.Newf("unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return errors.New("timeout must be positive")
	case len(r.Services) == 0:
		return errors.New("no service")
	}
	total := 0.0
	for _, s := range r.Services {
		if s.Weight < 0 || s.Service == "" {
			return errors.Newf("service %q has weight %g", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("no service has a weight")
	}
	return nil
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil.
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

// Pick returns the service for a request. Requests are spread by a hash of
// their id, so that the shares hold over all daemons without coordination.
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

// keepNewest is a mechanism that tests switch off.
var keepNewest = mutant.New("route/versions-never-go-back")

// Holder keeps the configuration in force. A version never replaces a newer one.
type Holder struct {
	// OnChange is called after a version came into force, in the order of versions.
	OnChange func(old, now *Config)

	mu      sync.Mutex
	current atomic.Pointer[Config]
	raw     []byte
}

// Current returns the configuration in force, or nil.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, 0 without one.
func (h *Holder) Version() Version {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Raw returns the encoded configuration in force, as it was read.
func (h *Holder) Raw() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// SetIfNewer puts c into force if it is newer than what is, and reports whether it did.
func (h *Holder) SetIfNewer(c *Config, raw []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && c.Version <= old.Version && !keepNewest.Off() {
		return false
	}
	h.current.Store(c)
	h.raw = raw
	if h.OnChange != nil {
		h.OnChange(old, c)
	}
	return true
}
