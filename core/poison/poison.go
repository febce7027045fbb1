// Package poison keeps requests that crash targets away from further targets.
//
// Each target's daemon has a List. It knows the requests in flight at its own
// target. When the target crashes, they become suspects, which all daemons of
// the service are told before the crash is answered. A suspect runs only on the
// one target that the daemons elect for it, and only one suspect at a time runs
// there, so that copies of it cannot crash several targets at once. If the
// target crashes while a suspect runs, the suspect is condemned and refused
// until it is forgotten.
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

// Mechanisms that tests switch off one at a time.
var (
	markSuspects   = mutant.New("poison/mark-suspects")
	refuseGuilty   = mutant.New("poison/refuse-condemned")
	oneAtATime     = mutant.New("poison/one-suspect-at-a-time")
	electTarget    = mutant.New("poison/elected-target")
	clearOnSuccess = mutant.New("poison/clear-on-success")
	spareOthers    = mutant.New("poison/spare-others")
	markBeside     = mutant.New("poison/mark-beside-suspect")
	boundMemory    = mutant.New("poison/bounded-memory")
	tellFirst      = mutant.New("poison/report-before-answer")
)

const (
	// ForgetAfter is how long a suspect is watched and a condemned request refused.
	ForgetAfter = 10 * time.Minute
	// ConfirmWithin bounds how long the answer to a crash waits for the other
	// daemons to confirm the report.
	ConfirmWithin = 200 * time.Millisecond
	// BodyBytes is the part of a body that enters a fingerprint.
	BodyBytes = 64 << 10
	// defaultMaxEntries bounds a list to about half a megabyte.
	defaultMaxEntries = 4096
)

// Fingerprint identifies a request that is sent again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: of its key if it has one, otherwise
// of the first BodyBytes of its body.
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

// Report tells the daemons of a service what a crash or a success has shown.
type Report struct {
	Daemon    fleet.DaemonID
	Suspects  []Fingerprint
	Condemned []Fingerprint
	Cleared   []Fingerprint
	// ForgetAt is when suspects and condemned requests are forgotten.
	ForgetAt time.Time
}

// List is the suspects and the condemned requests that a daemon knows. Use New.
type List struct {
	Self fleet.DaemonID
	// Now is the clock of the daemon.
	Now func() time.Time
	// Members returns the daemons of the service whose targets take work,
	// including this one.
	Members func() []fleet.DaemonID
	// Send passes a report to the other daemons of the service. It returns when
	// each reachable one has confirmed it, or when ctx ends.
	Send func(context.Context, Report)
	// MaxEntries bounds suspects and condemned requests, each.
	MaxEntries int

	mu        sync.Mutex
	inFlight  map[*Run]bool
	suspects  map[Fingerprint]time.Time // until when
	condemned map[Fingerprint]time.Time
	watched   int // runs that were suspects when they started
}

// Option changes a list under construction.
type Option func(*List)

// WithNow sets the clock of the list.
func WithNow(now func() time.Time) Option {
	return func(l *List) { l.Now = now }
}

// WithMembers sets the function that names the daemons of the service.
func WithMembers(members func() []fleet.DaemonID) Option {
	return func(l *List) { l.Members = members }
}

// WithSend sets the function that passes reports to the other daemons.
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

// Run is a request that was handed to the target.
type Run struct {
	list        *List
	fingerprint Fingerprint
	suspect     bool // was a suspect when it started
}

// Begin is called right before a request is handed to the target. It returns an
// *outcome.Error if the request must not run here; the request then did not run.
func (l *List) Begin(f Fingerprint) (*Run, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if until, ok := l.condemned[f]; ok && now.Before(until) && !refuseGuilty.Off() {
		err := outcome.New(outcome.NotRun, outcome.Poison, "the request crashed two targets")
		err.RetryAt = until
		return nil, err
	}
	suspect := l.suspected(f, now)
	if suspect {
		if err := l.admitSuspect(f); err != nil {
			return nil, err
		}
		l.watched++
		invariant.Check(l.watched == 1, "SuspectAlone", "%d suspects run on the target", l.watched)
	}
	r := &Run{list: l, fingerprint: f, suspect: suspect}
	l.inFlight[r] = true
	return r, nil
}

// suspected reports whether f is a suspect, and forgets it when its time is over.
func (l *List) suspected(f Fingerprint, now time.Time) bool {
	until, ok := l.suspects[f]
	if ok && !now.Before(until) {
		delete(l.suspects, f)
		return false
	}
	return ok
}

// admitSuspect refuses a suspect that another target has to run, or that has to
// wait for another suspect here.
func (l *List) admitSuspect(f Fingerprint) error {
	if elected, ok := Elect(f, l.Members()); ok && elected != l.Self && !electTarget.Off() {
		err := outcome.New(outcome.NotRun, outcome.Overloaded, "the request is a suspect that another target runs")
		err.Hint = string(elected)
		return err
	}
	if l.suspectInFlight() && !oneAtATime.Off() {
		return outcome.New(outcome.NotRun, outcome.Overloaded, "another suspect runs on the target")
	}
	return nil
}

// suspectInFlight reports whether a request runs here that is a suspect by now,
// even if it was none when it started.
func (l *List) suspectInFlight() bool {
	for r := range l.inFlight {
		if _, ok := l.suspects[r.fingerprint]; ok || r.suspect {
			return true
		}
	}
	return false
}

// Elect returns the daemon whose target runs the suspect f, by the highest hash
// of both. Daemons with the same members elect the same one.
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

// End is called when the target has answered or the request was cancelled
// there. A run that the target completed clears a suspect; the other daemons
// are told until ctx ends.
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
	if r.suspect {
		l.watched--
	}
}

// Crash is called when the target has crashed. It ends all runs, marks their
// requests and tells the other daemons, which takes at most ConfirmWithin.
// Only then are the entries answered.
func (l *List) Crash(ctx context.Context) Report {
	report := l.crash()
	if len(report.Suspects)+len(report.Condemned) > 0 && !tellFirst.Off() {
		ctx, cancel := context.WithTimeout(ctx, ConfirmWithin)
		defer cancel()
		l.Send(ctx, report)
	}
	return report
}

// crash decides who is to blame. A single suspect in flight is condemned. The
// requests beside it become suspects, since one of them may have crashed the
// target instead: a second poison request would otherwise need a third target
// to be noticed.
func (l *List) crash() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	report := Report{Daemon: l.Self, ForgetAt: now.Add(ForgetAfter)}
	inFlight, suspects := l.collect(now)
	if len(suspects) == 1 {
		report.Condemned = suspects
	}
	if spareOthers.Off() && len(suspects) > 0 {
		report.Condemned = inFlight
	}
	for _, f := range inFlight {
		guilty := len(report.Condemned) > 0 && f == report.Condemned[0]
		beside := len(suspects) > 0 && markBeside.Off()
		if !guilty && !beside {
			report.Suspects = append(report.Suspects, f)
		}
	}
	l.apply(report)
	return report
}

// collect ends all runs and returns their fingerprints and the suspects among
// them, each once and sorted.
func (l *List) collect(now time.Time) (inFlight, suspects []Fingerprint) {
	seen := map[Fingerprint]bool{}
	for r := range l.inFlight {
		l.remove(r)
		if seen[r.fingerprint] {
			continue
		}
		seen[r.fingerprint] = true
		inFlight = append(inFlight, r.fingerprint)
		if l.suspected(r.fingerprint, now) {
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

// Apply takes over the report of another daemon. ForgetAt has been converted to
// the clock of this daemon. Reports may arrive twice and in any order.
func (l *List) Apply(report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(report)
}

func (l *List) apply(report Report) {
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

// add enters f and drops forgotten entries, and beyond the bound those that are
// forgotten next.
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
	invariant.Check(len(list) <= l.MaxEntries, "PoisonListBounded", "%d entries of at most %d", len(list), l.MaxEntries)
}

// evict drops all entries whose time is over, or the one that ends first.
func evict(list map[Fingerprint]time.Time, now time.Time) {
	var first Fingerprint
	var earliest time.Time
	dropped := false
	for f, until := range list {
		if !now.Before(until) {
			delete(list, f)
			dropped = true
			continue
		}
		if earliest.IsZero() || until.Before(earliest) {
			first, earliest = f, until
		}
	}
	if !dropped {
		delete(list, first)
	}
}

// Snapshot returns what a daemon that has just started needs to know. It is
// sent to each new incarnation of a daemon of the service.
func (l *List) Snapshot() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTime := map[time.Time]*Report{}
	at := func(until time.Time) *Report {
		if byTime[until] == nil {
			byTime[until] = &Report{Daemon: l.Self, ForgetAt: until}
		}
		return byTime[until]
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
	reports := make([]Report, 0, len(byTime))
	for _, report := range byTime {
		sortFingerprints(report.Suspects)
		sortFingerprints(report.Condemned)
		reports = append(reports, *report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ForgetAt.Before(reports[j].ForgetAt) })
	return reports
}

// Len returns the number of suspects and of condemned requests.
func (l *List) Len() (suspects, condemned int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects), len(l.condemned)
}
