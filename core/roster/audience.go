package roster

import (
	"math/rand/v2"

	"pollenscale/core/fleet"
)

// relaysPerRegion is the number of daemons of another region that are told a
// change and pass it on there. Two make the loss of one harmless.
const relaysPerRegion = 2

// Recipients are the announce addresses of the daemons that are told a change of
// the own record.
type Recipients struct {
	// Direct are the daemons of the own region.
	Direct []string
	// Relays are a few daemons of each other region. Telling all of them would
	// cost bytes between regions in proportion to the fleet.
	Relays []string
}

// Recipients returns who is told a change of the own record.
func (r *Roster) Recipients(own fleet.Region) Recipients {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a Recipients
	far := map[fleet.Region][]string{}
	for id, m := range r.members {
		address, region := m.record.AnnounceAddress, m.record.Place.Region
		switch {
		case id == r.own || address == "":
		case region == own:
			a.Direct = append(a.Direct, address)
		case !m.aside:
			far[region] = append(far[region], address)
		}
	}
	for _, addresses := range far {
		a.Relays = append(a.Relays, Sample(addresses, relaysPerRegion)...)
	}
	return a
}

// AlternateRelay returns the address of another relay for the region of one that did
// not acknowledge, empty if there is none.
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
		if id != r.own && m.record.Place.Region == region && !m.aside && address != relay && address != "" {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// AddressesInZone returns the announce addresses of the other daemons in the own zone.
func (r *Roster) AddressesInZone(own fleet.Place) []string {
	return r.addresses(func(p fleet.Place) bool { return p == own })
}

// AddressesOutsideZone returns the announce addresses of the daemons outside the own zone.
func (r *Roster) AddressesOutsideZone(own fleet.Place) []string {
	return r.addresses(func(p fleet.Place) bool { return p != own })
}

func (r *Roster) addresses(belongs func(fleet.Place) bool) []string {
	var out []string
	for _, rec := range r.Records() {
		if rec.Daemon != r.own && rec.AnnounceAddress != "" && belongs(rec.Place) {
			out = append(out, rec.AnnounceAddress)
		}
	}
	return out
}

// Sample returns up to n of the addresses at random, and reorders them.
func Sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
