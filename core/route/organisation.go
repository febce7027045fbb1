package route

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pollenscale/core/fleet"

	"github.com/cockroachdb/errors"
)

// Regions is a set of regions. The empty set stands for all regions.
type Regions []fleet.Region

// Contains reports whether the region is in the set.
func (r Regions) Contains(region fleet.Region) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// KeyDigest is the digest of an organisation's key. Only the digest is kept for look-ups, so
// that their time does not depend on how much of a guessed key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Organisation describes how the requests of an organisation are served.
type Organisation struct {
	Name fleet.Organisation
	Keys []KeyDigest
	// Priority replaces that of the route, nil if the organisation has none.
	Priority *int
	// Rate and Burst are the quota over all daemons together: requests per second, and how
	// many more may come at once. A rate of 0 stands for no limit.
	Rate, Burst float64
	// Regions are the only regions in which requests may be served; all if empty.
	Regions Regions
}

// indexKeys indexes the organisations by their keys. An organisation that cannot be applied
// is left out, so that its keys are unknown. A key that two organisations hold is accepted
// for neither: it does not tell whose quota, priority and regions apply.
func (c *Config) indexKeys() {
	if len(c.Organisations) == 0 {
		return
	}
	c.KeysRequired = true
	c.keys = make(map[KeyDigest]*Organisation)
	c.names = make(map[fleet.Organisation]*Organisation, len(c.Organisations))
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if err := c.validateOrganisation(o); err != nil {
			c.Omitted = append(c.Omitted, errors.Wrapf(err, "organisation %d, %q", i, o.Name).Error())
			continue
		}
		c.names[o.Name] = o
		for _, k := range o.Keys {
			if other, taken := c.keys[k]; !taken {
				c.keys[k] = o
			} else if other != o {
				c.keys[k] = nil
				c.Omitted = append(c.Omitted, fmt.Sprintf("organisation %d, %q: a key that another one holds is accepted for neither", i, o.Name))
			}
		}
	}
}

func (c *Config) validateOrganisation(o *Organisation) error {
	switch {
	case o.Name == "":
		return errors.New("name must not be empty")
	case c.names[o.Name] != nil:
		return errors.New("name is taken by an earlier organisation")
	case o.Rate < 0 || o.Burst < 0:
		return errors.New("rate and burst must not be negative")
	}
	return nil
}

// NeedsKey reports whether requests of the route need the key of an organisation.
func (c *Config) NeedsKey(r *Route) bool { return c.KeysRequired && !r.Public }

// Organisation returns the organisation that holds the key, or nil.
func (c *Config) Organisation(key string) *Organisation {
	if key == "" || c.keys == nil {
		return nil
	}
	return c.keys[DigestKey(key)]
}

// Named returns the organisation with the name, or nil.
func (c *Config) Named(name fleet.Organisation) *Organisation {
	if c == nil {
		return nil
	}
	return c.names[name]
}
