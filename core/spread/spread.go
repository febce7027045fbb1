// Package spread distributes each configuration version to every daemon.
//
// Every membership datagram announces the version in force at its sender. A
// daemon that receives an announcement of a later version fetches the changes
// from the sender, puts them in force and announces the version in turn, so that
// each daemon serves only a few peers. The store is read rarely: the interval
// between reads of one daemon grows with the number of members, so that the fleet
// makes about 5 reads/s.
//
// The package does not hold the configuration. The owner of the configuration
// sets the function fields of Spreader.
package spread

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenscale/core/invariant"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Version is the number of a configuration version; 0 means none.
type Version uint64

// Head identifies a version by its number and the digest of its content.
type Head struct {
	Version Version
	Digest  string
}

// Change is a version, described by the documents that it changes.
type Change struct {
	Version   Version
	PublishID string
	Digest    string
	// Documents holds the changed documents by path. An empty body removes the
	// document.
	Documents map[string][]byte
}

// Update leads from one version to a later one, by consecutive changes or, if the
// sender no longer has all of them, by a snapshot.
type Update struct {
	Changes []Change
	// Snapshot holds all documents of a version; nil if there are Changes.
	Snapshot *Change
}

// Head returns the last version of the update.
func (u Update) Head() Head {
	if n := len(u.Changes); n > 0 {
		return Head{u.Changes[n-1].Version, u.Changes[n-1].Digest}
	}
	if u.Snapshot != nil {
		return Head{u.Snapshot.Version, u.Snapshot.Digest}
	}
	return Head{}
}

// Timing.
const (
	// StoreReadsPerSecond is the rate at which the whole fleet reads the store. At
	// 5 reads/s, a new version is found within 1 s with a probability of 99.3%.
	StoreReadsPerSecond = 5
	// minReadInterval limits the read rate of one daemon in a small fleet.
	minReadInterval = time.Second
	// firstReadWindow is the period over which daemons to which no peer has
	// answered spread their first read: 3,400 daemons make 170 reads/s. It doubles
	// with each read up to maxReadWindow.
	firstReadWindow = 20 * time.Second
	maxReadWindow   = 10 * time.Minute
	// fetchTimeout limits one fetch from a peer or the store to about 100 round
	// trips between regions. After it another source is tried.
	fetchTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed fetch, before
	// jitter.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// refusedPause is the pause after an update that failed validation, before
	// jitter. The same content would fail again; a later version ends the pause.
	refusedPause = 30 * time.Second
)

// listenTime is how long a daemon that has no version yet collects announcements
// after the first one before it fetches. Its previous process may have had a later
// version in force than the first peer that announces one; about ten peers announce
// their version in this time.
const listenTime = 2 * time.Second

const (
	// firstPeers is the number of peers that a daemon without a version asks for theirs
	// before it reads the store, and maxFirstRounds how often it asks further ones if none
	// answers.
	firstPeers     = 3
	maxFirstRounds = 4
)

// ErrNotNewer is returned for an update whose version is not later than the one in
// force.
var ErrNotNewer = errors.New("update is not newer than the version in force")

// maxRemoteDelay bounds the time that a daemon waits for an announcer in its own
// region before it fetches from another region, since traffic between regions is
// billed by volume. The delay is maxRemoteDelay times the fourth root of a uniform
// random number below 1. Few daemons of a region therefore fetch from other regions,
// and the others receive an announcement from them within 0.5 s, before their own
// delay has passed.
const maxRemoteDelay = 800 * time.Millisecond

// errRefused marks the error of an update that Apply refused.
var errRefused = errors.New("update refused")

// maxAnnouncers is the number of announcers of a later version that are kept in
// each list.
const maxAnnouncers = 8

// Spreader keeps one daemon's configuration up to date. Set the fields, then call
// Run.
type Spreader struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Current returns the version in force.
	Current func() Head
	// Apply validates an update and puts it in force. If it returns an error, the
	// version in force is unchanged.
	Apply func(context.Context, Update) error
	// UpdateFrom returns the update from a version to the one in force.
	UpdateFrom func(Version) (Update, error)
	// Fetch requests the result of UpdateFrom from the daemon at a peer address.
	Fetch func(ctx context.Context, peerAddress string, after Version) (Update, error)
	// Peers returns the peer addresses of up to n random members. Nil means that none is
	// known.
	Peers func(n int) []string
	// ReadStore returns the update from a version to the latest one in the store,
	// or an empty update if there is none. Nil disables reads of the store.
	ReadStore func(ctx context.Context, after Version) (Update, error)
	// Announce passes the version in force to the membership protocol.
	Announce func(Head)
	// Members returns the number of members, at least 1.
	Members func() int
	// Joined reports whether a peer has answered, so that Members is meaningful.
	// It should also return true for a daemon without seeds.
	Joined func() bool

	// SameRegion reports whether the daemon at a peer address is in this daemon's
	// region. Nil means that all are.
	SameRegion func(peerAddress string) bool
	// Jitter returns a random duration below d; nil means a uniform distribution.
	Jitter func(d time.Duration) time.Duration

	mu     sync.Mutex
	wake   chan struct{}
	latest Head
	// announcers are the peers in this daemon's region that announced a later
	// version.
	announcers []string
	// remoteAnnouncers are those in other regions, from which the daemon fetches
	// from remoteFetchAt on.
	remoteAnnouncers []string
	remoteFetchAt    time.Time
	readAt           time.Time
	// listenUntil is when a daemon without a version may fetch one, zero until a
	// version has been announced to it.
	listenUntil time.Time
	// unjoined is set while reads are scheduled for a daemon to which no peer has
	// answered; readWindow is the period over which its next read is spread.
	unjoined   bool
	readWindow time.Duration
	// firstRounds counts the rounds in which no peer has answered a daemon without a
	// version.
	firstRounds int
	retryAt     time.Time
	retryPause  time.Duration
	counts      Counts
}

// Counts are totals since the start, for metrics.
type Counts struct {
	PeerFetches     int
	PeerFailures    int
	StoreReads      int
	StoreFailures   int
	Applied         int
	Refused         int
	DigestConflicts int
}

// Counts returns the totals since the start.
func (s *Spreader) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Latest returns the latest version announced by a peer, which may not be in force
// yet.
func (s *Spreader) Latest() Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

func (s *Spreader) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Spreader) jitter(d time.Duration) time.Duration {
	if s.Jitter != nil {
		return s.Jitter(d)
	}
	return rand.N(d)
}

// HandleAnnouncement handles the announcement that the daemon at a peer address has
// version h in force.
func (s *Spreader) HandleAnnouncement(peerAddress string, h Head) {
	current := s.Current()
	if h.Version == current.Version && h.Digest != current.Digest && h.Version != 0 && h.Digest != "" {
		s.mu.Lock()
		s.counts.DigestConflicts++
		s.mu.Unlock()
		return
	}
	if h.Version <= current.Version || peerAddress == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.Version == 0 && s.listenUntil.IsZero() {
		s.listenUntil = s.now().Add(listenTime)
	}
	if h.Version > s.latest.Version {
		s.latest = h
		s.announcers = nil
		s.retryAt = time.Time{}
		s.retryPause = 0
	}
	s.addAnnouncer(peerAddress)
	s.signal()
}

// addAnnouncer adds an announcer of the latest version. The first one in another
// region sets remoteFetchAt. The caller holds the lock.
func (s *Spreader) addAnnouncer(peerAddress string) {
	if s.SameRegion != nil && !s.SameRegion(peerAddress) {
		if s.remoteFetchAt.IsZero() {
			random := float64(s.jitter(maxRemoteDelay)) / float64(maxRemoteDelay)
			s.remoteFetchAt = s.now().Add(time.Duration(float64(maxRemoteDelay) * math.Sqrt(math.Sqrt(random))))
		}
		s.remoteAnnouncers = appendAnnouncer(s.remoteAnnouncers, peerAddress)
		return
	}
	s.announcers = appendAnnouncer(s.announcers, peerAddress)
}

// appendAnnouncer appends an address unless it is in the list. The most recent ones
// are kept, since they are likely to have the latest version.
func appendAnnouncer(announcers []string, address string) []string {
	if slices.Contains(announcers, address) {
		return announcers
	}
	announcers = append(announcers, address)
	return announcers[max(0, len(announcers)-maxAnnouncers):]
}

// signal wakes Run. The caller holds the lock.
func (s *Spreader) signal() {
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run keeps the configuration up to date until the context ends.
func (s *Spreader) Run(ctx context.Context) error {
	s.mu.Lock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	wake := s.wake
	s.mu.Unlock()
	s.Announce(s.Current())
	for {
		next := s.Step(ctx)
		timer := time.NewTimer(next.Sub(s.now()))
		select {
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// Step performs the fetch and the read that are due, and returns by when to call it
// again. Run calls it; measurements call it in virtual time.
func (s *Spreader) Step(ctx context.Context) time.Time {
	if address, ok := s.dueFetch(); ok {
		s.fetch(ctx, address)
	}
	if s.dueRead() && s.askedPeers(ctx) {
		s.read(ctx)
	}
	return s.nextStep()
}

// dueFetch removes and returns the next peer to fetch from, if a fetch is due.
func (s *Spreader) dueFetch() (string, bool) {
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Version <= current.Version {
		s.announcers, s.remoteAnnouncers, s.remoteFetchAt = nil, nil, time.Time{}
		return "", false
	}
	now := s.now()
	if now.Before(s.retryAt) || s.listening(current, now) {
		return "", false
	}
	queue := &s.announcers
	if len(s.announcers) == 0 && !now.Before(s.remoteFetchAt) {
		queue = &s.remoteAnnouncers
	}
	if len(*queue) == 0 {
		return "", false
	}
	address := (*queue)[0]
	*queue = (*queue)[1:]
	return address, true
}

// listening reports whether the daemon still collects announcements before it
// fetches its first version. The caller holds the lock.
func (s *Spreader) listening(current Head, now time.Time) bool {
	return current.Version == 0 && now.Before(s.listenUntil)
}

// fetch fetches and applies an update from a peer.
func (s *Spreader) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := s.Fetch(ctx, address, s.Current().Version)
	if err == nil {
		err = s.apply(ctx, update)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.PeerFetches++
	if err == nil || errors.Is(err, ErrNotNewer) {
		s.retryPause = 0
		return
	}
	s.counts.PeerFailures++
	s.retryPause = min(max(2*s.retryPause, minRetryPause), maxRetryPause)
	if errors.Is(err, errRefused) {
		s.retryPause = refusedPause
	}
	s.retryAt = s.now().Add(s.retryPause/2 + s.jitter(s.retryPause))
}

// apply puts an update in force if it is newer.
func (s *Spreader) apply(ctx context.Context, u Update) error {
	before, head := s.Current(), u.Head()
	if head.Version <= before.Version {
		return ErrNotNewer
	}
	if err := s.Apply(ctx, u); err != nil {
		s.mu.Lock()
		s.counts.Refused++
		s.mu.Unlock()
		return errors.CombineErrors(errRefused, err)
	}
	after := s.Current()
	invariant.Check(after.Version >= before.Version, "config-version-never-reverts", "%d after %d", after.Version, before.Version)
	s.mu.Lock()
	s.counts.Applied++
	s.mu.Unlock()
	s.Announce(after)
	return nil
}

// askedPeers makes a daemon without a version ask peers for theirs, and reports whether
// the store may be read. Announcements of peers may be lost or late, and the store may
// return an older version than the previous process of this daemon had in force.
func (s *Spreader) askedPeers(ctx context.Context) bool {
	if s.Peers == nil || s.Current().Version != 0 {
		return true
	}
	peers := s.Peers(firstPeers)
	if len(peers) == 0 || s.askPeers(ctx, peers) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstRounds++
	if s.firstRounds >= maxFirstRounds {
		return true
	}
	s.readAt = s.now().Add(minRetryPause + s.jitter(minReadInterval))
	return false
}

// askPeers fetches the versions of the peers, applies the latest and reports whether one of
// the peers has answered.
func (s *Spreader) askPeers(ctx context.Context, peers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	updates := make([]Update, len(peers))
	answered := make([]bool, len(peers))
	var group errgroup.Group
	for i, address := range peers {
		group.Go(func() error {
			update, err := s.Fetch(ctx, address, 0)
			updates[i], answered[i] = update, err == nil
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return false
	}
	latest := slices.MaxFunc(updates, func(a, b Update) int { return cmp.Compare(a.Head().Version, b.Head().Version) })
	err := s.apply(ctx, latest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.PeerFetches += len(peers)
	if err != nil && !errors.Is(err, ErrNotNewer) {
		s.counts.PeerFailures++
	}
	return slices.Contains(answered, true)
}

// readInterval returns the mean time between two reads of the store by one daemon.
func (s *Spreader) readInterval() time.Duration {
	d := time.Duration(s.Members()) * time.Second / StoreReadsPerSecond
	return max(d, minReadInterval)
}

// dueRead reports whether a read of the store is due. It schedules the first read,
// and reschedules it when the daemon has joined.
func (s *Spreader) dueRead() bool {
	if s.ReadStore == nil {
		return false
	}
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.listening(current, now) {
		return false
	}
	unjoined := !s.Joined()
	if s.readAt.IsZero() || s.unjoined && !unjoined {
		// A new daemon fetches from peers. Its first read is at a random time
		// within the interval, so that a restart of many daemons causes no burst.
		s.readAt = now.Add(s.jitter(s.nextReadWindow(unjoined)))
	}
	s.unjoined = unjoined
	return !now.Before(s.readAt)
}

// nextReadWindow returns the period over which the next read is spread. For an
// unjoined daemon it doubles with each call.
func (s *Spreader) nextReadWindow(unjoined bool) time.Duration {
	if !unjoined {
		return s.readInterval()
	}
	s.readWindow = min(max(2*s.readWindow, firstReadWindow), maxReadWindow)
	return s.readWindow
}

// read reads the store, applies the update and schedules the next read.
func (s *Spreader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := s.ReadStore(ctx, s.Current().Version)
	if err == nil && update.Head().Version != 0 {
		err = s.apply(ctx, update)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.StoreReads++
	if err != nil && !errors.Is(err, ErrNotNewer) {
		s.counts.StoreFailures++
	}
	// The interval starts when the call returns, so that a slow store is not read
	// at a higher rate.
	window := s.nextReadWindow(s.unjoined)
	s.readAt = s.now().Add(window/2 + s.jitter(window))
}

// nextStep returns when Step is due next.
func (s *Spreader) nextStep() time.Time {
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.now().Add(time.Minute)
	if s.ReadStore != nil && s.readAt.Before(next) {
		next = s.readAt
	}
	if soon := s.now().Add(minReadInterval); s.unjoined && soon.Before(next) {
		next = soon // the read is rescheduled when the daemon joins
	}
	if len(s.announcers) > 0 && s.retryAt.Before(next) {
		next = s.retryAt
	}
	if len(s.remoteAnnouncers) > 0 && s.remoteFetchAt.Before(next) {
		next = later(s.remoteFetchAt, s.retryAt)
	}
	if s.listening(current, s.now()) {
		next = later(next, s.listenUntil)
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
