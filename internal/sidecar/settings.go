package sidecar

import (
	"cmp"
	"reflect"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/retry"
)

// Settings are what a daemon is told about its VM and its surroundings.
type Settings struct {
	Name  string
	IP    string
	Place fleet.Place
	// ListenCallers, ListenPeers, ListenReady, ListenControl, ListenAnnounce and ListenMetrics are the addresses on
	// which the daemon listens: for clients and the target's own calls, for other
	// daemons, for the question whether it takes clients, for the target's
	// heartbeats, for datagrams of daemons, and for metrics.
	ListenCallers, ListenPeers, ListenReady, ListenControl, ListenAnnounce, ListenMetrics string
	// AdvertisePeers and AdvertiseAnnounce are the addresses at which other daemons
	// reach Peers and Announce, where they differ, as behind a proxy.
	AdvertisePeers, AdvertiseAnnounce string
	// Seeds are addresses of other daemons, which may be stale; often empty.
	Seeds []string
	// Target is the address of the target beside the daemon, Service what it runs.
	Target  string
	Service fleet.Service
	// Store is the address of the platform's store.
	Store string
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// DrainPeriod is how long after an acknowledged drain requests may reach the target.
	DrainPeriod time.Duration
	// RetryBudget are the bounds that all daemons keep together.
	RetryBudget retry.Terms
}

// PeerAddress is where other daemons send attempts.
func (s *Settings) PeerAddress() string { return cmp.Or(s.AdvertisePeers, s.ListenPeers) }

// AnnounceAddress is where other daemons send datagrams.
func (s *Settings) AnnounceAddress() string { return cmp.Or(s.AdvertiseAnnounce, s.ListenAnnounce) }

// Equal reports whether two settings are the same.
func (s Settings) Equal(o *Settings) bool { return reflect.DeepEqual(s, *o) }
