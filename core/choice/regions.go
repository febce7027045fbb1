package choice

import (
	"slices"

	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// restrictedScan is the number of targets of a region that are examined for a restricted
// request. It has no other region to go to if they take no work.
const restrictedScan = 32

// restrictRegions is a mechanism that tests can switch off.
var restrictRegions = mutant.New("choice/regions")

// Regions is a set of regions. The zero value contains all regions, unlike the set that
// OnlyRegions returns without arguments, which contains none.
type Regions struct {
	restricted bool
	names      []fleet.Region
}

// OnlyRegions returns the set of the given regions.
func OnlyRegions(names ...fleet.Region) Regions { return Regions{restricted: true, names: names} }

// Contains reports whether the region is in the set.
func (r Regions) Contains(region fleet.Region) bool {
	return !r.restricted || slices.Contains(r.names, region) || restrictRegions.Off()
}

// Intersect returns the set of the regions that are in both sets.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case !r.restricted:
		return o
	case !o.restricted:
		return r
	}
	var both []fleet.Region
	for _, name := range r.names {
		if slices.Contains(o.names, name) {
			both = append(both, name)
		}
	}
	return OnlyRegions(both...)
}

// regionTargets holds the targets of a service in one region.
type regionTargets struct {
	region  fleet.Region
	targets []*targetState
}

// add adds a target that takes work.
func (v *serviceTargets) add(s *targetState) {
	v.tiers[s.tier] = append(v.tiers[s.tier], s)
	v.count++
	if s.tier != otherRegion {
		return
	}
	region := s.target.Place.Region
	at := slices.IndexFunc(v.remote, func(g regionTargets) bool { return g.region == region })
	if at < 0 {
		at = len(v.remote)
		v.remote = append(v.remote, regionTargets{region: region})
	}
	v.remote[at].targets = append(v.remote[at].targets, s)
}

// randomAllowed is like randomUntried for the targets of a tier in the allowed regions.
// Among the targets of all other regions, randomUntried could miss those of an allowed one,
// since it examines only a few.
func (c *Chooser) randomAllowed(svc *serviceTargets, t tier, regions Regions, exclude []fleet.DaemonID, failing bool) *targetState {
	switch {
	case !regions.restricted:
		return c.randomUntried(svc.tiers[t], exclude, failing, sampleSize)
	case t != otherRegion:
		if !regions.Contains(c.place.Region) {
			return nil
		}
		return c.randomUntried(svc.tiers[t], exclude, failing, restrictedScan)
	}
	first := c.randomRegion(svc, regions)
	for i := range svc.remote {
		g := &svc.remote[(first+i)%len(svc.remote)]
		if !regions.Contains(g.region) {
			continue
		}
		if s := c.randomUntried(g.targets, exclude, failing, restrictedScan); s != nil {
			return s
		}
	}
	return nil
}

// randomRegion returns the index of a random allowed region in remote, weighted by its
// number of targets. It returns 0 if no region is allowed.
func (c *Chooser) randomRegion(svc *serviceTargets, regions Regions) int {
	total := 0
	for _, g := range svc.remote {
		if regions.Contains(g.region) {
			total += len(g.targets)
		}
	}
	if total == 0 {
		return 0
	}
	at := int(c.Rand() % uint64(total))
	for i, g := range svc.remote {
		if !regions.Contains(g.region) {
			continue
		}
		if at -= len(g.targets); at < 0 {
			return i
		}
	}
	return 0
}
