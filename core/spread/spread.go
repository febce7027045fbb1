// Package spread brings each configuration version to every daemon.
//
// Every membership datagram carries the version that its sender has in force.
// A daemon that hears of a later one fetches the changes from the sender, puts
// them in force and announces them in turn, so that each daemon serves a few
// peers. The store is read by few: the interval between reads of one daemon
// grows with the number of members, so that the fleet makes about 5 reads/s.
//
// The package does not hold the configuration. Its owner fills in the function
// fields of Spreader.
package spread

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenscale/core/invariant"

	"github.com/cockroachdb/errors"
)

// Version is the number of a configuration version; 0 means none.
type Version uint64

// Head names a version by number and by the digest of its content.
type Head struct {
	Version Version
	Digest  string
}

// Change is one version as a delta of the documents that it touches.
type Change struct {
	Version   Version
	PublishID string
	Digest    string
	// Documents are the documents that the change sets, by path. An empty body
	// removes the document.
	Documents map[string][]byte
}

// Update leads from one version to a later one: by changes in order, or by a
// snapshot when the sender no longer has all changes.
type Update struct {
	Changes []Change
	// Snapshot holds all documents of its version; nil if there are changes.
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
	// StoreReadsPerSecond is the rate at which the fleet reads the store. With 5
	// reads/s a version is found within 1 s with a probability of 99.3%.
	StoreReadsPerSecond = 5
	// leastInterval bounds the rate of one daemon in a small fleet.
	leastInterval = time.Second
	// firstSpread spreads the first reads of daemons that no peer has answered:
	// 3,400 daemons make 170 reads/s. It doubles with each read up to mostSpread.
	firstSpread = 20 * time.Second
	mostSpread  = 10 * time.Minute
	// fetchTimeout bounds one fetch from a peer or the store: 100 round trips
	// between regions. After it another source is tried.
	fetchTimeout = 2 * time.Second
	// retryLeast and retryMost bound the pause after a failed fetch.
	retryLeast = 100 * time.Millisecond
	retryMost  = 5 * time.Second
	// refusedPause follows an update that failed validation. The same content
	// would fail again; a later version ends the pause.
	refusedPause = 30 * time.Second
)

// firstWait is how long a daemon that holds no version yet listens after it has
// heard of the first one. Its earlier process may have had a later version in
// force than the first peer that it hears; in this time about ten peers are heard.
const firstWait = 2 * time.Second

// ErrOlder is returned for an update that does not lead past the version in force.
var ErrOlder = errors.New("update is not newer than the version in force")

// homeWait bounds the time that a daemon waits for a teller in its own region,
// since links between regions are billed by volume. The time is homeWait times
// the fourth root of a random share, so that few daemons of a region fetch over
// the link and the others hear from them, within 0.5 s, before their time is up.
const homeWait = 800 * time.Millisecond

// errRefused is returned for an update that the owner of the configuration refused.
var errRefused = errors.New("update refused")

// maxTellers is the number of peers remembered that announced a later version.
const maxTellers = 8

// Spreader keeps one daemon's configuration up to date. Fill in the fields,
// then call Run.
type Spreader struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Current returns the version in force.
	Current func() Head
	// Apply validates an update and puts it in force. An error leaves the
	// version in force as it was.
	Apply func(context.Context, Update) error
	// ChangesAfter returns what leads from a version to the one in force.
	ChangesAfter func(Version) (Update, error)
	// Fetch asks the daemon at a peer address for ChangesAfter.
	Fetch func(ctx context.Context, peerAddress string, after Version) (Update, error)
	// ReadStore returns what leads from a version to the head in the store. An
	// empty update means that there is nothing later. It may be nil.
	ReadStore func(ctx context.Context, after Version) (Update, error)
	// Announce passes the version in force to membership.
	Announce func(Head)
	// Members returns the number of members, at least 1.
	Members func() int
	// Joined reports whether a peer has answered, so that Members is right. It
	// should also report true for a daemon that has no seeds.
	Joined func() bool

	// SameRegion reports whether the daemon at a peer address is in the own region.
	// Nil means that all are.
	SameRegion func(peerAddress string) bool
	// Jitter returns a random length below d; nil means a uniform one.
	Jitter func(d time.Duration) time.Duration

	mu      sync.Mutex
	wake    chan struct{}
	latest  Head
	tellers []string
	// far are tellers in other regions, which are asked from farAt on.
	far    []string
	farAt  time.Time
	readAt time.Time
	// firstAt is when a daemon without a version may put one in force, zero
	// until it has heard of one.
	firstAt time.Time
	// alone is set while reads are placed for a daemon that no peer has answered;
	// spreadOver is the time over which its next read is spread.
	alone      bool
	spreadOver time.Duration
	retryAt    time.Time
	pause      time.Duration
	counts     Counts
}

// Counts are totals since the start, for metrics.
type Counts struct {
	PeerFetches    int
	PeerFailures   int
	StoreReads     int
	StoreFailures  int
	Applied        int
	Refused        int
	DigestConflict int
}

// Counts returns the totals since the start.
func (s *Spreader) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Latest returns the latest version heard of, which may not be in force yet.
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

// HandleAnnouncement takes in that the daemon at a peer address has a version in force.
func (s *Spreader) HandleAnnouncement(peerAddress string, h Head) {
	current := s.Current()
	if h.Version == current.Version && h.Digest != current.Digest && h.Version != 0 && h.Digest != "" {
		s.mu.Lock()
		s.counts.DigestConflict++
		s.mu.Unlock()
		return
	}
	if h.Version <= current.Version || peerAddress == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current.Version == 0 && s.firstAt.IsZero() {
		s.firstAt = s.now().Add(firstWait)
	}
	if h.Version > s.latest.Version {
		s.latest = h
		s.tellers = nil
		s.retryAt = time.Time{}
		s.pause = 0
	}
	s.addTeller(peerAddress)
	s.signal()
}

func (s *Spreader) addTeller(peerAddress string) {
	if s.SameRegion != nil && !s.SameRegion(peerAddress) {
		if s.farAt.IsZero() {
			share := float64(s.jitter(homeWait)) / float64(homeWait)
			s.farAt = s.now().Add(time.Duration(float64(homeWait) * math.Sqrt(math.Sqrt(share))))
		}
		s.far = appendTeller(s.far, peerAddress)
		return
	}
	s.tellers = appendTeller(s.tellers, peerAddress)
}

// appendTeller adds a teller that is not yet known. The latest ones are kept,
// since they are likely to have the latest version.
func appendTeller(tellers []string, address string) []string {
	if slices.Contains(tellers, address) {
		return tellers
	}
	tellers = append(tellers, address)
	return tellers[max(0, len(tellers)-maxTellers):]
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

// Step does what is due and returns when the next call is due at the latest.
// Run calls it; measurements call it in virtual time.
func (s *Spreader) Step(ctx context.Context) time.Time {
	if address, ok := s.dueTeller(); ok {
		s.fetch(ctx, address)
	}
	if s.dueRead() {
		s.read(ctx)
	}
	return s.next()
}

// dueTeller takes the next peer to fetch from.
func (s *Spreader) dueTeller() (string, bool) {
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Version <= current.Version {
		s.tellers, s.far, s.farAt = nil, nil, time.Time{}
		return "", false
	}
	now := s.now()
	if now.Before(s.retryAt) || s.listens(current, now) {
		return "", false
	}
	queue := &s.tellers
	if len(s.tellers) == 0 && !now.Before(s.farAt) {
		queue = &s.far
	}
	if len(*queue) == 0 {
		return "", false
	}
	address := (*queue)[0]
	*queue = (*queue)[1:]
	return address, true
}

// listens reports whether the daemon still waits to hear of a later version
// before it puts its first one in force. The caller holds the lock.
func (s *Spreader) listens(current Head, now time.Time) bool {
	return current.Version == 0 && now.Before(s.firstAt)
}

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
	if err == nil || errors.Is(err, ErrOlder) {
		s.pause = 0
		return
	}
	s.counts.PeerFailures++
	s.pause = min(max(2*s.pause, retryLeast), retryMost)
	if errors.Is(err, errRefused) {
		s.pause = refusedPause
	}
	s.retryAt = s.now().Add(s.pause/2 + s.jitter(s.pause))
}

// apply puts an update in force if it is newer.
func (s *Spreader) apply(ctx context.Context, u Update) error {
	before, head := s.Current(), u.Head()
	if head.Version <= before.Version {
		return ErrOlder
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

// interval is the time between two reads of the store by one daemon.
func (s *Spreader) interval() time.Duration {
	d := time.Duration(s.Members()) * time.Second / StoreReadsPerSecond
	return max(d, leastInterval)
}

func (s *Spreader) dueRead() bool {
	if s.ReadStore == nil {
		return false
	}
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.listens(current, now) {
		return false
	}
	alone := !s.Joined()
	if s.readAt.IsZero() || s.alone && !alone {
		// A new daemon fetches from peers. Its first read is placed at random
		// within the interval, so that a mass restart causes no burst.
		s.readAt = now.Add(s.jitter(s.spacing(alone)))
	}
	s.alone = alone
	return !now.Before(s.readAt)
}

// spacing is the time over which the next read is spread.
func (s *Spreader) spacing(alone bool) time.Duration {
	if !alone {
		return s.interval()
	}
	s.spreadOver = min(max(2*s.spreadOver, firstSpread), mostSpread)
	return s.spreadOver
}

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
	if err != nil && !errors.Is(err, ErrOlder) {
		s.counts.StoreFailures++
	}
	// The interval counts from the call, which keeps the rate when the store is slow.
	every := s.spacing(s.alone)
	s.readAt = s.now().Add(every/2 + s.jitter(every))
}

// next returns when Step is due again.
func (s *Spreader) next() time.Time {
	current := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.now().Add(time.Minute)
	if s.ReadStore != nil && s.readAt.Before(next) {
		next = s.readAt
	}
	if soon := s.now().Add(leastInterval); s.alone && soon.Before(next) {
		next = soon // joining moves the next read forward
	}
	if len(s.tellers) > 0 && s.retryAt.Before(next) {
		next = s.retryAt
	}
	if len(s.far) > 0 && s.farAt.Before(next) {
		next = later(s.farAt, s.retryAt)
	}
	if s.listens(current, s.now()) {
		next = later(next, s.firstAt)
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
