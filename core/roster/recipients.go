package roster

import (
	"math/rand/v2"

	"pollenscale/core/fleet"
)

// relaysPerRegion is the number of daemons of each other region that receive a
// changed record and forward it within their region. With two, the loss of one
// does no harm.
const relaysPerRegion = 2

// Recipients are the announce addresses of the daemons to which a change of this
// daemon's record is sent.
type Recipients struct {
	// Direct are the other daemons of the same region.
	Direct []string
	// Relays are a few daemons of each other region. Sending to all of them would
	// cause traffic between regions in proportion to the size of the fleet.
	Relays []string
}

// Recipients returns the recipients of a change of this daemon's record. The
// argument is this daemon's region.
func (r *Roster) Recipients(own fleet.Region) Recipients {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Recipients
	remote := map[fleet.Region][]string{}
	for id, m := range r.members {
		address, region := m.record.AnnounceAddress, m.record.Place.Region
		switch {
		case id == r.own || address == "":
		case region == own:
			out.Direct = append(out.Direct, address)
		case !m.unreachable:
			remote[region] = append(remote[region], address)
		}
	}
	for _, addresses := range remote {
		out.Relays = append(out.Relays, Sample(addresses, relaysPerRegion)...)
	}
	return out
}

// AlternateRelay returns the address of another relay in the region of a relay that
// did not acknowledge, or "" if there is none.
func (r *Roster) AlternateRelay(relay string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var region fleet.Region
	for _, m := range r.members {
		if m.record.AnnounceAddress == relay {
			region = m.record.Place.Region
		}
	}
	var others []string
	for id, m := range r.members {
		address := m.record.AnnounceAddress
		if id != r.own && m.record.Place.Region == region && !m.unreachable && address != relay && address != "" {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// AddressesInZone returns the announce addresses of the other daemons in this
// daemon's zone.
func (r *Roster) AddressesInZone(own fleet.Place) []string {
	return r.addresses(func(p fleet.Place) bool { return p == own })
}

// AddressesOutsideZone returns the announce addresses of the daemons outside this
// daemon's zone.
func (r *Roster) AddressesOutsideZone(own fleet.Place) []string {
	return r.addresses(func(p fleet.Place) bool { return p != own })
}

// addresses returns the announce addresses of the other daemons in matching places,
// in order of daemon ID.
func (r *Roster) addresses(belongs func(fleet.Place) bool) []string {
	var out []string
	for _, rec := range r.Records() {
		if rec.Daemon != r.own && rec.AnnounceAddress != "" && belongs(rec.Place) {
			out = append(out, rec.AnnounceAddress)
		}
	}
	return out
}

// Sample returns up to n random addresses of a slice. It shuffles the slice.
func Sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
