package roster

import (
	"math/rand/v2"

	"pollenscale/core/fleet"
)

// relaysPerRegion is the number of daemons of another region that are told a
// change and pass it on there. Two make the loss of one harmless.
const relaysPerRegion = 2

// Audience are the announce addresses of the daemons that are told a change of
// the own record.
type Audience struct {
	// Direct are the daemons of the own region.
	Direct []string
	// Relays are a few daemons of each other region. Telling all of them would
	// cost bytes between regions in proportion to the fleet.
	Relays []string
}

// Audience returns who is told a change of the own record.
func (r *Roster) Audience(own fleet.Region) Audience {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a Audience
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
		a.Relays = append(a.Relays, Draw(addresses, relaysPerRegion)...)
	}
	return a
}

// Substitute returns the address of another relay for the region of one that did
// not acknowledge, empty if there is none.
func (r *Roster) Substitute(relay string) string {
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

// Neighbours returns the announce addresses of the other daemons in the own zone.
func (r *Roster) Neighbours(own fleet.Place) []string {
	return r.addresses(func(p fleet.Place) bool { return p == own })
}

// Distant returns the announce addresses of the daemons outside the own zone.
func (r *Roster) Distant(own fleet.Place) []string {
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

// Draw returns up to n of the addresses at random, and reorders them.
func Draw(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
