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
	// Memory and Descriptors are the limits of the process, 0 if not known.
	Memory      fleet.Bytes
	Descriptors int
	// Revocation is the time after which a key that was removed must not be accepted by any
	// daemon, 0 if there is no such limit.
	Revocation time.Duration
	// Quota bounds what the quotas of organisations may be exceeded by.
	Quota QuotaLimits
	// Cold bounds what a cold target gets.
	Cold ColdLimits
	// Evacuation is the time after which an evacuated availability zone must not get requests,
	// 0 if zones are not evacuated.
	Evacuation time.Duration
}

// QuotaLimits bound the requests of an organisation in any window: the quota of the window
// times 1 + Over, plus Slack.
type QuotaLimits struct {
	Window      time.Duration
	Over, Slack float64
}

// ColdLimits bound the requests that a cold target gets in any second: its rate times Over,
// plus Slack.
type ColdLimits struct {
	Over, Slack float64
}

// PeerAddress returns the address to which other daemons send attempts.
func (s *Settings) PeerAddress() string { return cmp.Or(s.AdvertisePeers, s.ListenPeers) }

// AnnounceAddress returns the address to which other daemons send datagrams.
func (s *Settings) AnnounceAddress() string { return cmp.Or(s.AdvertiseAnnounce, s.ListenAnnounce) }

// Equal reports whether both settings are the same.
func (s Settings) Equal(o *Settings) bool { return reflect.DeepEqual(s, *o) }
