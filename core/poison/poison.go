// Package poison stops requests that crash targets from being sent to further
// targets.
//
// Each target's daemon has a List, which tracks the requests in flight at that
// target. When the target crashes, these requests become suspects. The daemon
// reports them to all daemons of the service before it responds to the entries
// whose requests were in flight. A suspect runs only on one target, which the
// daemons elect by rendezvous hashing, and only one suspect at a time runs
// there, so that copies of it cannot crash several targets at once. If the
// target crashes while exactly one suspect runs, that suspect is condemned: it
// is rejected until its entry expires.
package poison

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
	"pollenscale/internal/mutant"

	"github.com/cespare/xxhash/v2"
)

// Mechanisms that mutation tests disable one at a time.
var (
	markSuspects         = mutant.New("poison/mark-suspects")
	refuseCondemned      = mutant.New("poison/refuse-condemned")
	oneSuspectAtATime    = mutant.New("poison/one-suspect-at-a-time")
	electTarget          = mutant.New("poison/elected-target")
	clearOnSuccess       = mutant.New("poison/clear-on-success")
	condemnOnlySuspect   = mutant.New("poison/spare-others")
	markConcurrent       = mutant.New("poison/mark-beside-suspect")
	boundMemory          = mutant.New("poison/bounded-memory")
	reportBeforeResponse = mutant.New("poison/report-before-answer")
)

const (
	// ForgetAfter is how long a request stays a suspect or condemned.
	ForgetAfter = 10 * time.Minute
	// ConfirmWithin limits how long responses after a crash are delayed until the
	// other daemons have confirmed the report.
	ConfirmWithin = 200 * time.Millisecond
	// BodyBytes is the number of leading bytes of a body that a fingerprint covers.
	BodyBytes = 64 << 10
	// defaultMaxEntries limits a list to about half a megabyte.
	defaultMaxEntries = 4096
)

// Fingerprint is a hash of a request, which recognises it when it is sent again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It covers the idempotency
// key if there is one, and otherwise the first BodyBytes of the body.
func FingerprintOf(service fleet.Service, method, path, key string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(service), method, path, key} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	if key == "" {
		_, _ = d.Write(body[:min(len(body), BodyBytes)]) // never fails
	}
	return Fingerprint(d.Sum64())
}

// Report informs the daemons of a service about the consequences of a crash, or
// about a suspect that completed.
type Report struct {
	Daemon    fleet.DaemonID
	Suspects  []Fingerprint
	Condemned []Fingerprint
	Cleared   []Fingerprint
	// ForgetAt is when the entries of the suspects and condemned requests expire.
	ForgetAt time.Time
}

// List holds the suspects and the condemned requests that a daemon knows, and
// the requests in flight at its target. Use New to create one.
type List struct {
	Self fleet.DaemonID
	// Now returns the current time of the daemon.
	Now func() time.Time
	// Members returns the daemons of the service whose targets accept requests,
	// including this one.
	Members func() []fleet.DaemonID
	// Send sends a report to the other daemons of the service. It returns when
	// every reachable one has confirmed it, or when ctx is done.
	Send func(context.Context, Report)
	// MaxEntries limits the number of suspects, and that of condemned requests.
	MaxEntries int

	mu              sync.Mutex
	inFlight        map[*Run]bool
	suspects        map[Fingerprint]time.Time // expiry of each entry
	condemned       map[Fingerprint]time.Time // expiry of each entry
	runningSuspects int                       // runs that were suspects when they started
}

// Option configures a list in New.
type Option func(*List)

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option {
	return func(l *List) { l.Now = now }
}

// WithMembers sets the function that returns the daemons of the service.
func WithMembers(members func() []fleet.DaemonID) Option {
	return func(l *List) { l.Members = members }
}

// WithSend sets the function that sends reports to the other daemons.
func WithSend(send func(context.Context, Report)) Option {
	return func(l *List) { l.Send = send }
}

// New returns an empty list.
func New(self fleet.DaemonID, options ...Option) *List {
	l := &List{
		Self:       self,
		Now:        time.Now,
		Members:    func() []fleet.DaemonID { return nil },
		Send:       func(context.Context, Report) {},
		MaxEntries: defaultMaxEntries,
		inFlight:   map[*Run]bool{},
		suspects:   map[Fingerprint]time.Time{},
		condemned:  map[Fingerprint]time.Time{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Run is a request in flight at the target.
type Run struct {
	list        *List
	fingerprint Fingerprint
	wasSuspect  bool // was a suspect when it started
}

// Begin registers a request right before it is sent to the target. It returns an
// *outcome.Error with NotRun if the request must not run here.
func (l *List) Begin(f Fingerprint) (*Run, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if until, ok := l.condemned[f]; ok && now.Before(until) && !refuseCondemned.Off() {
		err := outcome.New(outcome.NotRun, outcome.Poison, "the request crashed two targets")
		err.RetryAt = until
		return nil, err
	}
	suspect := l.isSuspect(f, now)
	if suspect {
		if err := l.checkSuspect(f); err != nil {
			return nil, err
		}
		l.runningSuspects++
		invariant.Check(l.runningSuspects == 1, "SuspectAlone", "%d suspects run on the target", l.runningSuspects)
	}
	r := &Run{list: l, fingerprint: f, wasSuspect: suspect}
	l.inFlight[r] = true
	return r, nil
}

// isSuspect reports whether f is a suspect, and removes its entry if expired.
func (l *List) isSuspect(f Fingerprint, now time.Time) bool {
	until, ok := l.suspects[f]
	if ok && !now.Before(until) {
		delete(l.suspects, f)
		return false
	}
	return ok
}

// checkSuspect rejects a suspect if another target is elected for it, or if
// another suspect is in flight here.
func (l *List) checkSuspect(f Fingerprint) error {
	if elected, ok := Elect(f, l.Members()); ok && elected != l.Self && !electTarget.Off() {
		err := outcome.New(outcome.NotRun, outcome.Overloaded, "the request is a suspect that another target runs")
		err.Hint = string(elected)
		return err
	}
	if l.suspectInFlight() && !oneSuspectAtATime.Off() {
		return outcome.New(outcome.NotRun, outcome.Overloaded, "another suspect runs on the target")
	}
	return nil
}

// suspectInFlight reports whether a suspect is in flight, including requests that
// became suspects after they started.
func (l *List) suspectInFlight() bool {
	for r := range l.inFlight {
		if _, ok := l.suspects[r.fingerprint]; ok || r.wasSuspect {
			return true
		}
	}
	return false
}

// Elect returns the daemon whose target runs the suspect f. It uses rendezvous
// (highest random weight) hashing, so that daemons with the same members elect
// the same one.
func Elect(f Fingerprint, members []fleet.DaemonID) (fleet.DaemonID, bool) {
	var best fleet.DaemonID
	var highest uint64
	for _, m := range members {
		h := xxhash.Sum64String(string(m) + "/" + strconv.FormatUint(uint64(f), 16))
		if best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best, best != ""
}

// End ends a run after the target has responded or the request was cancelled
// there. A suspect that the target completed is cleared, and the other daemons
// are informed until ctx is done.
func (r *Run) End(ctx context.Context, completed bool) {
	l := r.list
	l.mu.Lock()
	if !l.inFlight[r] {
		l.mu.Unlock()
		return
	}
	l.remove(r)
	_, suspect := l.suspects[r.fingerprint]
	clears := suspect && completed && !clearOnSuccess.Off()
	if clears {
		delete(l.suspects, r.fingerprint)
	}
	l.mu.Unlock()
	if clears {
		l.Send(ctx, Report{Daemon: l.Self, Cleared: []Fingerprint{r.fingerprint}, ForgetAt: l.Now()})
	}
}

func (l *List) remove(r *Run) {
	delete(l.inFlight, r)
	if r.wasSuspect {
		l.runningSuspects--
	}
}

// Crash handles a crash of the target. It ends all runs, marks their requests as
// suspects or condemned, and reports them to the other daemons, which takes at
// most ConfirmWithin. The caller responds to the entries only after that.
func (l *List) Crash(ctx context.Context) Report {
	report := l.markCrash()
	if len(report.Suspects)+len(report.Condemned) > 0 && !reportBeforeResponse.Off() {
		ctx, cancel := context.WithTimeout(ctx, ConfirmWithin)
		defer cancel()
		l.Send(ctx, report)
	}
	return report
}

// markCrash determines which requests may have caused the crash. If exactly one
// suspect was in flight, it is condemned. The other requests in flight become
// suspects, since one of them may have crashed the target instead: otherwise a
// second poison request would be detected only after it crashed a third target.
func (l *List) markCrash() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	report := Report{Daemon: l.Self, ForgetAt: now.Add(ForgetAfter)}
	inFlight, suspects := l.endRuns(now)
	if len(suspects) == 1 {
		report.Condemned = suspects
	}
	if condemnOnlySuspect.Off() && len(suspects) > 0 {
		report.Condemned = inFlight
	}
	for _, f := range inFlight {
		condemned := len(report.Condemned) > 0 && f == report.Condemned[0]
		ignored := len(suspects) > 0 && markConcurrent.Off()
		if !condemned && !ignored {
			report.Suspects = append(report.Suspects, f)
		}
	}
	l.applyLocked(report)
	return report
}

// endRuns ends all runs. It returns their fingerprints and the suspects among
// them, each once and sorted.
func (l *List) endRuns(now time.Time) (inFlight, suspects []Fingerprint) {
	seen := map[Fingerprint]bool{}
	for r := range l.inFlight {
		l.remove(r)
		if seen[r.fingerprint] {
			continue
		}
		seen[r.fingerprint] = true
		inFlight = append(inFlight, r.fingerprint)
		if l.isSuspect(r.fingerprint, now) {
			suspects = append(suspects, r.fingerprint)
		}
	}
	sortFingerprints(inFlight)
	sortFingerprints(suspects)
	return inFlight, suspects
}

func sortFingerprints(list []Fingerprint) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}

// Apply merges the report of another daemon. The caller must have converted
// ForgetAt to the clock of this daemon. Reports may arrive more than once and in
// any order.
func (l *List) Apply(report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(report)
}

func (l *List) applyLocked(report Report) {
	now := l.Now()
	until := report.ForgetAt
	if latest := now.Add(ForgetAfter); until.After(latest) {
		until = latest
	}
	for _, f := range report.Cleared {
		delete(l.suspects, f)
	}
	if markSuspects.Off() {
		return
	}
	for _, f := range report.Suspects {
		l.add(l.suspects, f, now, until)
	}
	for _, f := range report.Condemned {
		delete(l.suspects, f)
		l.add(l.condemned, f, now, until)
	}
}

// add adds f or extends its expiry. If the list is full, it first evicts expired
// entries, or else the one that expires first.
func (l *List) add(list map[Fingerprint]time.Time, f Fingerprint, now, until time.Time) {
	if !now.Before(until) {
		return
	}
	if !until.After(list[f]) {
		return
	}
	if _, ok := list[f]; !ok && len(list) >= l.MaxEntries && !boundMemory.Off() {
		evict(list, now)
	}
	list[f] = until
	invariant.Check(len(list) <= l.MaxEntries, "PoisonListBounded", "%d entries, limit is %d", len(list), l.MaxEntries)
}

// evict removes all expired entries, or if there are none, the one that expires
// first.
func evict(list map[Fingerprint]time.Time, now time.Time) {
	var first Fingerprint
	var earliest time.Time
	removed := false
	for f, until := range list {
		if !now.Before(until) {
			delete(list, f)
			removed = true
			continue
		}
		if earliest.IsZero() || until.Before(earliest) {
			first, earliest = f, until
		}
	}
	if !removed {
		delete(list, first)
	}
}

// Snapshot returns all unexpired entries as reports. They are sent to each new
// incarnation of a daemon of the service.
func (l *List) Snapshot() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	byExpiry := map[time.Time]*Report{}
	at := func(until time.Time) *Report {
		if byExpiry[until] == nil {
			byExpiry[until] = &Report{Daemon: l.Self, ForgetAt: until}
		}
		return byExpiry[until]
	}
	now := l.Now()
	for f, until := range l.suspects {
		if now.Before(until) {
			at(until).Suspects = append(at(until).Suspects, f)
		}
	}
	for f, until := range l.condemned {
		if now.Before(until) {
			at(until).Condemned = append(at(until).Condemned, f)
		}
	}
	reports := make([]Report, 0, len(byExpiry))
	for _, report := range byExpiry {
		sortFingerprints(report.Suspects)
		sortFingerprints(report.Condemned)
		reports = append(reports, *report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ForgetAt.Before(reports[j].ForgetAt) })
	return reports
}

// Len returns the number of suspects and of condemned requests in the list.
func (l *List) Len() (suspects, condemned int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects), len(l.condemned)
}
