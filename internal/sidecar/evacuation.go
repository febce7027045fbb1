package sidecar

import (
	"context"
	"strings"
	"sync"

	"pollenscale/core/evacuation"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/roster"
	"pollenscale/core/store"
)

// evacuations is what the daemon knows of evacuated availability zones.
type evacuations struct {
	evacuation.Holder
	// enabled is set if the platform evacuates zones. Otherwise nothing is read or sent.
	enabled bool
	// targetsMu serialises updateTargets, so that targets without an evacuated zone are not
	// replaced by an earlier list with it.
	targetsMu sync.Mutex
}

// evacuationsKnown reports whether the daemon knows which zones are evacuated. Before, it must
// not send requests: an earlier process may have known.
func (s *Sidecar) evacuationsKnown() bool {
	return !s.evacuations.enabled || s.evacuations.Current().Known() || awaitEvacuations.Off()
}

// excludeEvacuated marks the targets in evacuated zones as not taking work, all targets as long
// as the zones are not known.
func (s *Sidecar) excludeEvacuated(targets []fleet.Target) []fleet.Target {
	if !s.evacuations.enabled || excludeEvacuated.Off() {
		return targets
	}
	zones, known := s.evacuations.Current(), s.evacuationsKnown()
	for i := range targets {
		t := &targets[i]
		if t.State.TakesWork() && (!known || zones.Contains(t.Place.AvailabilityZone)) {
			t.State = fleet.Draining
		}
	}
	return targets
}

// checkEvacuation returns why the target beside the daemon must not run a request, nil if it may.
func (s *Sidecar) checkEvacuation() *outcome.Error {
	switch {
	case !s.evacuations.enabled || refuseEvacuated.Off():
		return nil
	case !s.evacuationsKnown():
		return outcome.New(outcome.NotRun, outcome.NoTarget, "evacuated zones not known yet")
	case s.evacuations.Current().Contains(s.settings.Load().Place.AvailabilityZone):
		s.meters.evacuationRefusals.Inc()
		return outcome.New(outcome.NotRun, outcome.NoTarget, "the zone is evacuated")
	}
	return nil
}

// evacuationsChanged puts a changed set of zones into force and notifies some of the other daemons.
func (s *Sidecar) evacuationsChanged(before, now evacuation.Set) {
	for _, zone := range now.Zones {
		if !before.Contains(zone) {
			s.log.Warn("evacuation: zone evacuated.", "zone", zone, "version", now.Version, "era", now.Era)
		}
	}
	for _, zone := range before.Zones {
		if !now.Contains(zone) {
			s.log.Warn("evacuation: zone back in service.", "zone", zone, "version", now.Version, "era", now.Era)
		}
	}
	s.updateTargets()
	if before.Known() {
		s.notifyOthers()
	}
}

// ownEvacuations returns the set that is passed on to other daemons.
func (s *Sidecar) ownEvacuations() evacuation.Set {
	if !s.evacuations.enabled {
		return evacuation.Set{}
	}
	return s.evacuations.Current()
}

// offerEvacuations applies the set of another daemon.
func (s *Sidecar) offerEvacuations(set evacuation.Set) {
	if s.evacuations.enabled {
		s.evacuations.Offer(set)
	}
}

// readEvacuations reads the rows of evacuated zones after the store had a version.
func (s *Sidecar) readEvacuations(ctx context.Context, version store.Version, era store.Era) bool {
	if !s.evacuations.enabled {
		return true
	}
	set := evacuation.Set{Era: era, Version: version}
	for after := ""; ; {
		rows, err := s.tables.List(ctx, s.protocol.ConfigTable, s.protocol.EvacuationPrefix, after, listPageSize)
		if err != nil {
			s.meters.store.reportLost(s.log, err)
			return false
		}
		for _, row := range rows {
			if zone, ok := s.evacuatedZone(row); ok && !row.Deleted {
				set.Zones = append(set.Zones, zone)
			}
			after = row.Key
		}
		if len(rows) < listPageSize || !strings.HasPrefix(after, s.protocol.EvacuationPrefix) {
			s.evacuations.Offer(set)
			return true
		}
	}
}

// applyEvacuations applies the rows of evacuated zones among changes after a position.
func (s *Sidecar) applyEvacuations(changes store.Changes, after position) {
	if !s.evacuations.enabled {
		return
	}
	c := evacuation.Changes{Era: after.era, After: after.version, Upto: changes.Version}
	for _, row := range changes.Rows {
		if zone, ok := s.evacuatedZone(row); ok {
			c.Rows = append(c.Rows, evacuation.Change{Zone: zone, Version: row.Version, Back: row.Deleted})
		}
	}
	s.evacuations.Apply(c)
}

// evacuatedZone returns the zone that the row evacuates, and whether it is such a row.
func (s *Sidecar) evacuatedZone(row store.Row) (fleet.AvailabilityZone, bool) {
	zone, ok := strings.CutPrefix(row.Key, s.protocol.EvacuationPrefix)
	return fleet.AvailabilityZone(zone), ok && zone != "" && s.protocol.EvacuationPrefix != ""
}

// notifyOthers notifies some of the other daemons of the configuration version and the evacuated
// zones.
func (s *Sidecar) notifyOthers() {
	if s.announcer == nil {
		return
	}
	place := s.settings.Load().Place
	for _, address := range roster.Sample(s.roster.AddressesInZone(place), notifyNear) {
		s.announcer.SendConfigVersion(address)
	}
	for _, address := range roster.Sample(s.roster.AddressesOutsideZone(place), notifyFar) {
		s.announcer.SendConfigVersion(address)
	}
}
