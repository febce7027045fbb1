package sidecar

import (
	"cmp"
	"reflect"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/retry"
	"pollenscale/core/store"
)

// Settings describe the daemon's VM, its target and the platform around it.
type Settings struct {
	Name  string
	IP    string
	Place fleet.Place
	// ListenCallers, ListenPeers, ListenReady, ListenControl, ListenAnnounce and
	// ListenMetrics are the addresses on which the daemon listens: for requests of
	// clients and of its own target, for requests of other daemons, for readiness
	// checks, for heartbeats of the target, for announce datagrams of other daemons,
	// and for metrics.
	ListenCallers, ListenPeers, ListenReady, ListenControl, ListenAnnounce, ListenMetrics string
	// AdvertisePeers and AdvertiseAnnounce are the addresses at which other daemons
	// reach ListenPeers and ListenAnnounce, if they differ, for example behind a proxy.
	AdvertisePeers, AdvertiseAnnounce string
	// Seeds are addresses of other daemons. They may be stale, and are often empty.
	Seeds []string
	// Target is the address of the target beside the daemon, Service the service that
	// it runs.
	Target  string
	Service fleet.Service
	// Store is the address of the platform's store, StoreLimits the rates that it
	// accepts.
	Store       string
	StoreLimits store.Limits
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
	// DrainPeriod is how long requests may still reach the target after its drain has
	// been acknowledged.
	DrainPeriod time.Duration
	// RetryBudget limits the retries of all daemons together.
	RetryBudget retry.FleetLimits
}

// PeerAddress returns the address to which other daemons send attempts.
func (s *Settings) PeerAddress() string { return cmp.Or(s.AdvertisePeers, s.ListenPeers) }

// AnnounceAddress returns the address to which other daemons send datagrams.
func (s *Settings) AnnounceAddress() string { return cmp.Or(s.AdvertiseAnnounce, s.ListenAnnounce) }

// Equal reports whether both settings are the same.
func (s Settings) Equal(o *Settings) bool { return reflect.DeepEqual(s, *o) }
