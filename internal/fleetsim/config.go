package fleetsim

import (
	"context"
	"fmt"
	"time"

	"pollenscale/core/member"
	"pollenscale/core/spread"
	"pollenscale/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

// keepChanges is the number of changes that a daemon keeps for others.
const keepChanges = 200

// ConfigStore is the configuration in the simulated store.
type ConfigStore struct {
	Changes []spread.Change
	// Down refuses reads; StaleBy hides the last versions from reads.
	Down    bool
	StaleBy int
	// Reads counts reads by the second of virtual time.
	Reads map[int64]int

	sim   *Sim
	start time.Time
}

// ConfigState holds the configuration of one daemon.
type ConfigState struct {
	Spreader *spread.Spreader
	// AppliedAt is when each version came into force.
	AppliedAt map[spread.Version]time.Time
	// Reverted is set when an older version replaced a later one.
	Reverted bool

	head    spread.Head
	changes []spread.Change
	// snapshot stands for all documents of the version in force.
	snapshot *spread.Change
}

// Head returns the version in force.
func (h *ConfigState) Head() spread.Head { return h.head }

// EnableConfig gives each started daemon a spreader over one store.
func (s *Sim) EnableConfig() *ConfigStore {
	c := &ConfigStore{Reads: map[int64]int{}, sim: s, start: s.now}
	s.config = c
	for _, n := range s.Nodes {
		if n.Up {
			s.attach(n)
		}
	}
	return c
}

// Publish adds versions to the store, each with one document of the given size.
func (c *ConfigStore) Publish(count, size int) {
	for range count {
		v := spread.Version(len(c.Changes) + 1)
		c.Changes = append(c.Changes, spread.Change{
			Version: v, PublishID: fmt.Sprintf("publish-%08d", v), Digest: fmt.Sprintf("digest-%010d", v),
			Documents: map[string][]byte{fmt.Sprintf("services/service-%03d.json", int(v)%330): make([]byte, size)},
		})
	}
}

func (c *ConfigStore) read(_ context.Context, after spread.Version) (spread.Update, error) {
	c.Reads[int64(c.sim.now.Sub(c.start)/time.Second)]++
	if c.Down {
		return spread.Update{}, ErrUnreachable
	}
	visible := c.Changes[:max(0, len(c.Changes)-c.StaleBy)]
	if int(after) >= len(visible) {
		return spread.Update{}, nil
	}
	return spread.Update{Changes: visible[after:]}, nil
}

// attach gives a daemon a new holder and spreader.
func (s *Sim) attach(n *Node) {
	h := &ConfigState{AppliedAt: map[spread.Version]time.Time{}}
	n.Config = h
	list, generation := n.List, n.generation
	h.Spreader = &spread.Spreader{
		Now:        s.Now,
		Jitter:     func(d time.Duration) time.Duration { return time.Duration(s.Random.Int64N(int64(d))) },
		Current:    h.Head,
		Apply:      func(_ context.Context, u spread.Update) error { return h.apply(u, s.now) },
		UpdateFrom: h.after,
		Fetch: func(_ context.Context, address string, after spread.Version) (spread.Update, error) {
			return s.fetch(n, address, after)
		},
		ReadStore: s.config.read,
		Announce:  func(head spread.Head) { list.SetConfig(uint64(head.Version), head.Digest) },
		Members:   list.Size,
		SameRegion: func(address string) bool {
			to := s.byAddress[address]
			return s.FetchFromAnyRegion || to == nil || to.Target.Place.Region == n.Target.Place.Region
		},
		Joined: list.Joined,
	}
	pending := false
	// Only the step that was scheduled last runs.
	scheduled := 0
	var step func()
	schedule := func(at time.Time) {
		if at.Before(s.now) {
			at = s.now.Add(time.Millisecond)
		}
		scheduled++
		id := scheduled
		s.At(at, func() {
			if id == scheduled && n.generation == generation {
				step()
			}
		})
	}
	step = func() {
		pending = false
		if s.now.Before(n.PausedUntil) {
			schedule(n.PausedUntil)
			return
		}
		schedule(h.Spreader.Step(context.Background()))
	}
	n.OnDatagram = func(_ *Node, address string, d member.Datagram) {
		h.Spreader.HandleAnnouncement(address, spread.Head{Version: spread.Version(d.ConfigVersion), Digest: d.ConfigDigest})
		if h.Spreader.Latest().Version > h.head.Version && !pending {
			pending = true
			// The fetch takes one round trip to the sender.
			trip := time.Millisecond
			if to := s.byAddress[address]; to != nil {
				trip = s.Delay(n, to) + s.Delay(to, n)
			}
			schedule(s.now.Add(trip))
		}
	}
	schedule(s.now.Add(time.Duration(s.Random.Int64N(int64(time.Second)))))
}

func (h *ConfigState) apply(u spread.Update, now time.Time) error {
	if u.Head().Version < h.head.Version {
		h.Reverted = true
	}
	if u.Snapshot != nil {
		h.changes = nil
		h.AppliedAt[u.Snapshot.Version] = now
		h.snapshot = u.Snapshot
	}
	for _, c := range u.Changes {
		if c.Version <= h.head.Version {
			continue
		}
		h.AppliedAt[c.Version] = now
		h.changes = append(h.changes, c)
	}
	h.changes = h.changes[max(0, len(h.changes)-keepChanges):]
	h.head = u.Head()
	return nil
}

func (h *ConfigState) after(v spread.Version) (spread.Update, error) {
	if v >= h.head.Version {
		return spread.Update{}, nil
	}
	for i, c := range h.changes {
		if c.Version == v+1 {
			return spread.Update{Changes: h.changes[i:]}, nil
		}
	}
	return spread.Update{Snapshot: &spread.Change{Version: h.head.Version, Digest: h.head.Digest}}, nil
}

// fetch carries out FetchConfig between two daemons.
func (s *Sim) fetch(n *Node, address string, after spread.Version) (spread.Update, error) {
	to := s.byAddress[address]
	if !s.Reachable(n, to) {
		return spread.Update{}, ErrUnreachable
	}
	s.RecordMessage(n, to, 12)
	update, err := to.Config.after(after)
	if err != nil {
		return spread.Update{}, err
	}
	response := &peerpb.FetchConfigResponse{}
	for _, c := range update.Changes {
		response.Changes = append(response.Changes, &peerpb.ConfigChange{
			Version: uint64(c.Version), PublishId: c.PublishID, Digest: c.Digest, Documents: c.Documents,
		})
	}
	s.RecordMessage(to, n, proto.Size(response))
	n.Traffic.ConfigBytes += proto.Size(response)
	return update, nil
}
