package sidecar

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/route"
)

// Header fields between daemons. Clients cannot set them: the entry removes
// them from requests, and answers leave the entry without them.
const (
	privatePrefix = "Pollenscale-"
	// hopAttempt names an attempt: entry, its incarnation, sequence, lowest open
	// sequence, addressed incarnation.
	hopAttempt = "Pollenscale-Attempt"
	// hopTerms are the terms of an attempt: service, priority, caller's service,
	// microseconds to the deadline and to the latest start (-1: none), whether the
	// request is idempotent, its expected work in microseconds, microseconds to its
	// objective (-1: none), and its fingerprint.
	hopTerms = "Pollenscale-Terms"
	// hopVersion is the configuration version of the sender, with the address
	// from which a newer configuration can be read.
	hopVersion = "Pollenscale-Version"
	// hopOutcome is set on answers that the target did not make: the outcome,
	// reason, whether the target saw the request, milliseconds to a useful retry,
	// the daemon that should run it instead ("-": any), and the detail.
	hopOutcome = "Pollenscale-Outcome"
	// hopLoad is the load of the target.
	hopLoad = "Pollenscale-Load"
	// hopWork is how long the target worked on the request, in microseconds.
	hopWork = "Pollenscale-Work"
	// hopCall is set on calls of daemons that are no attempts.
	hopCall = "Pollenscale-Call"
)

// The calls of daemons.
const (
	callSettle   = "Settle"   // stop the attempt if it has not started
	callCheck    = "Check"    // stop the attempt if it has not arrived
	callSnapshot = "Snapshot" // all records and the configuration
	callConfig   = "Config"   // the configuration as the operator wrote it
	callCrash    = "Crash"    // a crash report
)

// terms are what the entry decided about an attempt.
type terms struct {
	service    fleet.Service
	priority   int
	caller     fleet.Service
	deadline   time.Time
	startBy    time.Time
	idempotent bool
	// work is how long the target is expected to take, 0 if that is not known.
	work time.Duration
	// inTime is when the answer loses most of its worth, zero if that is the deadline.
	inTime time.Time
	// fingerprint identifies the request when its client sends it again.
	fingerprint poison.Fingerprint
}

func writeAttempt(h http.Header, ref attempt.Ref) {
	h[hopAttempt] = []string{strings.Join([]string{
		string(ref.ID.Daemon), ref.ID.Incarnation.String(), strconv.FormatUint(uint64(ref.ID.Sequence), 10),
		strconv.FormatUint(uint64(ref.OpenFrom), 10), ref.Target.String(),
	}, " ")}
}

func readAttempt(h http.Header) (attempt.Ref, bool) {
	f := strings.Fields(h.Get(hopAttempt))
	if len(f) != 5 {
		return attempt.Ref{}, false
	}
	var n [4]uint64
	for i := range n {
		v, err := strconv.ParseUint(f[i+1], 10, 64)
		if err != nil {
			return attempt.Ref{}, false
		}
		n[i] = v
	}
	return attempt.Ref{
		ID:       attempt.ID{Daemon: fleet.DaemonID(f[0]), Incarnation: fleet.Incarnation(n[0]), Sequence: attempt.Sequence(n[1])},
		OpenFrom: attempt.Sequence(n[2]), Target: fleet.Incarnation(n[3]),
	}, true
}

func writeTerms(h http.Header, t terms, now time.Time) {
	h[hopTerms] = []string{strings.Join([]string{
		string(t.service), strconv.Itoa(t.priority), string(t.caller),
		strconv.FormatInt(t.deadline.Sub(now).Microseconds(), 10), writeTime(t.startBy, now),
		strconv.FormatBool(t.idempotent), strconv.FormatInt(t.work.Microseconds(), 10), writeTime(t.inTime, now),
		strconv.FormatUint(uint64(t.fingerprint), 16),
	}, " ")}
}

// writeTime formats a time as microseconds from now, -1 for the zero time.
func writeTime(at, now time.Time) string {
	if at.IsZero() {
		return "-1"
	}
	return strconv.FormatInt(max(0, at.Sub(now).Microseconds()), 10)
}

func readTime(text string, now time.Time) (time.Time, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return time.Time{}, err
	}
	return now.Add(time.Duration(n) * time.Microsecond), nil
}

func readTerms(h http.Header, now time.Time) (terms, bool) {
	f := strings.Split(h.Get(hopTerms), " ")
	if len(f) != 9 {
		return terms{}, false
	}
	priority, err1 := strconv.Atoi(f[1])
	left, err2 := strconv.ParseInt(f[3], 10, 64)
	startBy, err3 := readTime(f[4], now)
	work, err4 := strconv.ParseInt(f[6], 10, 64)
	inTime, err5 := readTime(f[7], now)
	fingerprint, err6 := strconv.ParseUint(f[8], 16, 64)
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || err5 != nil || err6 != nil {
		return terms{}, false
	}
	return terms{
		service: fleet.Service(f[0]), priority: priority, caller: fleet.Service(f[2]),
		deadline: now.Add(time.Duration(left) * time.Microsecond), startBy: startBy, idempotent: f[5] == "true",
		work: time.Duration(work) * time.Microsecond, inTime: inTime, fingerprint: poison.Fingerprint(fingerprint),
	}, true
}

// verdict is an outcome as it travels between daemons.
type verdict struct {
	err *outcome.Error
	// arrived is set when the target itself turned the request away.
	arrived bool
}

// noHint stands for the absence of a hint in hopOutcome.
const noHint = "-"

func writeVerdict(h http.Header, v verdict, now time.Time) {
	wait := int64(-1)
	if !v.err.RetryAt.IsZero() {
		wait = max(0, v.err.RetryAt.Sub(now).Milliseconds())
	}
	hint := v.err.Hint
	if hint == "" {
		hint = noHint
	}
	h[hopOutcome] = []string{strings.Join([]string{
		string(v.err.Outcome), string(v.err.Reason), strconv.FormatBool(v.arrived), strconv.FormatInt(wait, 10), hint, v.err.Detail,
	}, " ")}
}

func readVerdict(h http.Header, now time.Time) (verdict, bool) {
	f := strings.SplitN(h.Get(hopOutcome), " ", 6)
	if len(f) != 6 || !outcome.Outcome(f[0]).Valid() {
		return verdict{}, false
	}
	v := verdict{err: outcome.New(outcome.Outcome(f[0]), outcome.Reason(f[1]), f[5]), arrived: f[2] == "true"}
	if f[4] != noHint {
		v.err.Hint = f[4]
	}
	if wait, err := strconv.ParseInt(f[3], 10, 64); err == nil && wait >= 0 {
		v.err.RetryAt = now.Add(time.Duration(wait) * time.Millisecond)
	}
	return v, true
}

// paceUnit is the pace in hundredths, as it travels.
const paceUnit = 100

func writeLoad(h http.Header, l fleet.Load) {
	h[hopLoad] = []string{strings.Join([]string{
		strconv.FormatUint(l.Sequence, 10), string(l.State), strconv.Itoa(int(l.Slots)),
		strconv.Itoa(int(l.Running)), strconv.Itoa(int(l.Queued)),
		strconv.FormatInt(l.WaitLow.Microseconds(), 10), strconv.FormatInt(l.WaitUrgent.Microseconds(), 10),
		strconv.FormatInt(l.Service.Microseconds(), 10), strconv.FormatInt(int64(l.Pace*paceUnit), 10),
	}, " ")}
}

func readLoad(h http.Header, t *fleet.Target) (fleet.Load, bool) {
	f := strings.Fields(h.Get(hopLoad))
	if len(f) != 9 {
		return fleet.Load{}, false
	}
	var n [9]int64
	for i, text := range f {
		if i == 1 {
			continue
		}
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fleet.Load{}, false
		}
		n[i] = v
	}
	return fleet.Load{
		Daemon: t.Daemon, Incarnation: t.Incarnation, Sequence: uint64(n[0]), State: fleet.State(f[1]),
		Slots: fleet.Slots(n[2]), Running: uint32(n[3]), Queued: uint32(n[4]),
		WaitLow:    time.Duration(n[5]) * time.Microsecond,
		WaitUrgent: time.Duration(n[6]) * time.Microsecond,
		Service:    time.Duration(n[7]) * time.Microsecond,
		Pace:       float64(n[8]) / paceUnit,
	}, true
}

func writeWork(h http.Header, took time.Duration) {
	h[hopWork] = []string{strconv.FormatInt(took.Microseconds(), 10)}
}

func readWork(h http.Header) (time.Duration, bool) {
	us, err := strconv.ParseInt(h.Get(hopWork), 10, 64)
	return time.Duration(us) * time.Microsecond, err == nil && us > 0
}

func writeVersion(h http.Header, v route.Version, address string) {
	h[hopVersion] = []string{strconv.FormatUint(uint64(v), 10) + " " + address}
}

func readVersion(h http.Header) (route.Version, string) {
	text, address, _ := strings.Cut(h.Get(hopVersion), " ")
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, ""
	}
	return route.Version(v), address
}

// splitList splits a comma-separated header value.
func splitList(list string) []string {
	var out []string
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
