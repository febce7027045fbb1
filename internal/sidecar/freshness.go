package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pollenscale/core/freshness"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/wait"
	"pollenscale/io/announce"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// disabledInterval is how often the settings are checked while keys are not revoked
	// strictly.
	disabledInterval = time.Second
	// askWatchers, askNear and askFar are the numbers of daemons that are asked at a time:
	// watchers of the own zone, and once the proof is about to expire also random
	// daemons of the own zone and of others.
	askWatchers = 2
	askNear     = 3
	askFar      = 2
)

// provenConfig is the configuration that a response of the store shows to be the newest,
// unset if that one could not be applied: then a removed key may still be in force here.
type provenConfig struct {
	version route.Version
	valid   bool
}

// configFreshness is what the daemon knows about how recent its configuration is.
type configFreshness struct {
	proofs    freshness.Proofs
	questions freshness.Questions
	// proved is set while requests with a key are accepted.
	proved atomic.Bool
}

// bootTime reads the clock of proofs. The monotonic clock does not count the time while the
// VM is suspended, and the time of day steps.
func bootTime() freshness.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(errors.Wrap(err, "read the boot-time clock")) // only if the kernel has no such clock
	}
	return freshness.Instant(t.Nano())
}

func (s *Sidecar) freshnessLimits() freshness.Limits {
	return freshness.Limits{Revocation: s.settings.Load().Revocation}
}

// addProof records that the configuration was the newest in the store when a call was sent.
func (s *Sidecar) addProof(config provenConfig, sent freshness.Instant) {
	if config.valid && s.freshnessLimits().Enabled() {
		s.freshness.proofs.Add(freshness.Proof{Version: config.version, At: sent})
	}
}

// isFresh reports whether a request with a key, which has arrived, may be accepted by the
// configuration with the version.
func (s *Sidecar) isFresh(version route.Version) bool {
	limits := s.freshnessLimits()
	return !limits.Enabled() || rejectUnproved.Off() || s.freshness.proofs.Accepts(limits, version, s.bootTime())
}

// proofAge returns the version in force and the age of its latest proof. The version is
// read first: a proof counts for all later ones.
func (s *Sidecar) proofAge() (route.Version, time.Duration, bool) {
	version := s.config.Version()
	age, ok := s.freshness.proofs.Age(version, s.bootTime())
	return version, age, ok
}

// proofAgeSeconds returns the age of the latest proof for the metrics, NaN if there is none.
func (s *Sidecar) proofAgeSeconds() float64 {
	_, age, ok := s.proofAge()
	if !ok {
		return math.NaN()
	}
	return age.Seconds()
}

// applyAnswer records the proof in an answer, and fetches the answerer's configuration if
// it is newer.
func (s *Sidecar) applyAnswer(m announce.Message) {
	if m.AgeMs != nil && *m.AgeMs >= 0 && *m.AgeMs <= math.MaxInt64/int64(time.Millisecond) {
		age := time.Duration(*m.AgeMs) * time.Millisecond
		if proof, ok := s.freshness.questions.Answered(m.Nonce, m.Version, age, s.bootTime()); ok {
			s.freshness.proofs.Add(proof)
		}
	}
	s.noteConfigVersion(m.Version, m.PeerAddress)
}

// askForProofs asks other daemons for proofs that the configuration is the newest. Watchers
// get proofs with their calls and seldom have to ask.
func (s *Sidecar) askForProofs(ctx context.Context) error {
	askAt := s.bootTime()
	for s.awaitProofCheck(ctx) {
		limits := s.freshnessLimits()
		if !limits.Enabled() {
			continue
		}
		s.logFreshness()
		now := s.bootTime()
		action := s.proofAction(limits)
		if action == freshness.None || action == freshness.Ask && now < askAt {
			continue
		}
		s.ask(action != freshness.Ask)
		askAt = now.Add(jittered(limits.AskInterval()))
	}
	return nil
}

// awaitProofCheck waits until the age of the proof has to be checked again. It returns false
// if ctx ends first.
func (s *Sidecar) awaitProofCheck(ctx context.Context) bool {
	limits := s.freshnessLimits()
	if !limits.Enabled() {
		return wait.For(ctx, disabledInterval)
	}
	return wait.For(ctx, jittered(limits.UrgentInterval()))
}

// proofAction returns what has to be done for a newer proof.
func (s *Sidecar) proofAction(limits freshness.Limits) freshness.Action {
	return s.freshness.proofs.Action(limits, s.config.Version(), s.bootTime())
}

// readForProofs reads the configuration from the store if no other daemon has a recent
// proof. Daemons that watch the store, or have no configuration, read it in any case.
func (s *Sidecar) readForProofs(ctx context.Context) error {
	for s.awaitProofCheck(ctx) {
		limits := s.freshnessLimits()
		if s.proofAction(limits) != freshness.Read || s.config.Current() == nil || s.roster.ShouldWatch(s.settings.Load().Place) {
			continue
		}
		s.meters.proofReads.Inc()
		_, ok := s.readConfig(ctx)
		if !wait.For(ctx, jittered(limits.ReadInterval(!ok))) {
			return nil
		}
	}
	return nil
}

// ask asks watchers of the own zone for a proof. If the own proof is about to expire, it
// asks random daemons of the own zone and of others as well.
func (s *Sidecar) ask(urgent bool) {
	place := s.settings.Load().Place
	addresses := roster.Sample(s.roster.WatcherAddresses(place), askWatchers)
	if urgent || len(addresses) == 0 {
		addresses = append(addresses, roster.Sample(s.roster.AddressesInZone(place), askNear)...)
		addresses = append(addresses, roster.Sample(s.roster.AddressesOutsideZone(place), askFar)...)
	}
	for _, address := range addresses {
		nonce := freshness.Nonce(rand.Uint64())
		s.freshness.questions.Sent(nonce, s.bootTime())
		s.announcer.Ask(address, nonce)
	}
}

// logFreshness logs when requests with a key begin or cease to be accepted.
func (s *Sidecar) logFreshness() {
	version := s.config.Version()
	proved := s.isFresh(version)
	if s.freshness.proved.Swap(proved) == proved {
		return
	}
	_, age, known := s.proofAge()
	if proved {
		s.log.Info("config: proved to be the newest; requests with a key are accepted.", "version", version, "age", age)
		return
	}
	s.log.Warn("config: may be out of date; requests with a key are rejected.", "version", version, "age", age, "proved", known)
}
