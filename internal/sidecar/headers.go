package sidecar

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/route"
)

// Header fields between daemons. Clients cannot set them: the entry removes them from
// requests, and from responses to clients.
const (
	internalHeaderPrefix = "Pollenscale-"
	// headerAttempt identifies an attempt: the entry, its incarnation, the sequence
	// number, the lowest sequence number still open, and the incarnation that is
	// addressed.
	headerAttempt = "Pollenscale-Attempt"
	// headerTerms holds the parameters of an attempt: service, priority, service of the
	// caller, microseconds to the deadline and to the latest start (-1: none), whether
	// the request is idempotent, its expected service time in microseconds,
	// microseconds to its latency objective (-1: none), and its fingerprint.
	headerTerms = "Pollenscale-Terms"
	// headerVersion holds the configuration version of the sender and the address from
	// which that configuration can be read.
	headerVersion = "Pollenscale-Version"
	// headerOutcome is set on responses that do not come from the target: the outcome,
	// the reason, whether the target itself refused the request, milliseconds until a
	// retry is useful (-1: not known), the daemon that should run the request instead
	// ("-": any), and the detail.
	headerOutcome = "Pollenscale-Outcome"
	// headerLoad holds the load of the target.
	headerLoad = "Pollenscale-Load"
	// headerWork holds the service time of the request at the target, in microseconds.
	headerWork = "Pollenscale-Work"
	// headerRepeat is set on attempts whose arrival at the target is a retry, or part of
	// one.
	headerRepeat = "Pollenscale-Repeat"
	// headerMovable is set on attempts that may go to another target if they hang.
	headerMovable = "Pollenscale-Movable"
	// headerNested is set on attempts of calls that a run in progress makes.
	headerNested = "Pollenscale-Nested"
	// headerOrganisation holds the name of the organisation of an attempt's client, in the
	// escaping of a URL query. It is absent if there is none.
	headerOrganisation = "Pollenscale-Organisation"
	// headerCall is set on calls between daemons other than attempts.
	headerCall = "Pollenscale-Call"
)

// Calls between daemons.
const (
	callSettle   = "Settle"   // prevent the attempt if it has not started
	callCheck    = "Check"    // prevent the attempt if it has not arrived
	callSnapshot = "Snapshot" // all records and the configuration
	callConfig   = "Config"   // the configuration as the operator published it
	callCrash    = "Crash"    // a crash report
	callMarks    = "Marks"    // the marks of requests that crash targets
)

// attemptParams are the parameters of an attempt, which the entry decides.
type attemptParams struct {
	service fleet.Service
	// organisation is that of the client, empty if there is none.
	organisation fleet.Organisation
	priority     int
	caller       fleet.Service
	deadline     time.Time
	startBy      time.Time
	idempotent   bool
	// serviceTime is the expected service time at the target, 0 if unknown.
	serviceTime time.Duration
	// objective is the time after which the response loses most of its value, zero if
	// that is the deadline.
	objective time.Time
	// fingerprint identifies the request, also when its client sends it again.
	fingerprint poison.Fingerprint
	// movable is set if the request may go to another target when it hangs.
	movable bool
	// repeat is set if the arrival at the target is a retry, or the request a call of a
	// repeated run.
	repeat bool
	// nested is set if the request is a call of a run in progress.
	nested bool
}

func writeAttempt(h http.Header, ref attempt.Ref) {
	h[headerAttempt] = []string{strings.Join([]string{
		string(ref.ID.Daemon), ref.ID.Incarnation.String(), strconv.FormatUint(uint64(ref.ID.Sequence), 10),
		strconv.FormatUint(uint64(ref.OpenFrom), 10), ref.Target.String(),
	}, " ")}
}

func readAttempt(h http.Header) (attempt.Ref, bool) {
	f := strings.Fields(h.Get(headerAttempt))
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

func writeParams(h http.Header, params attemptParams, now time.Time) {
	h[headerTerms] = []string{strings.Join([]string{
		string(params.service), strconv.Itoa(params.priority), string(params.caller),
		strconv.FormatInt(params.deadline.Sub(now).Microseconds(), 10), formatOffset(params.startBy, now),
		strconv.FormatBool(params.idempotent), strconv.FormatInt(params.serviceTime.Microseconds(), 10), formatOffset(params.objective, now),
		strconv.FormatUint(uint64(params.fingerprint), 16),
	}, " ")}
	if params.repeat {
		h[headerRepeat] = []string{"1"}
	}
	if params.movable {
		h[headerMovable] = []string{"1"}
	}
	if params.nested {
		h[headerNested] = []string{"1"}
	}
	if params.organisation != "" {
		h[headerOrganisation] = []string{url.QueryEscape(string(params.organisation))}
	}
}

// formatOffset formats a time as microseconds from now, -1 for the zero time.
func formatOffset(at, now time.Time) string {
	if at.IsZero() {
		return "-1"
	}
	return strconv.FormatInt(max(0, at.Sub(now).Microseconds()), 10)
}

func parseOffset(text string, now time.Time) (time.Time, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return time.Time{}, err
	}
	return now.Add(time.Duration(n) * time.Microsecond), nil
}

func readParams(h http.Header, now time.Time) (attemptParams, bool) {
	f := strings.Split(h.Get(headerTerms), " ")
	if len(f) != 9 {
		return attemptParams{}, false
	}
	priority, err1 := strconv.Atoi(f[1])
	left, err2 := strconv.ParseInt(f[3], 10, 64)
	startBy, err3 := parseOffset(f[4], now)
	serviceTime, err4 := strconv.ParseInt(f[6], 10, 64)
	objective, err5 := parseOffset(f[7], now)
	fingerprint, err6 := strconv.ParseUint(f[8], 16, 64)
	organisation, err7 := url.QueryUnescape(h.Get(headerOrganisation))
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || err5 != nil || err6 != nil || err7 != nil {
		return attemptParams{}, false
	}
	return attemptParams{
		service: fleet.Service(f[0]), organisation: fleet.Organisation(organisation), priority: priority, caller: fleet.Service(f[2]),
		deadline: now.Add(time.Duration(left) * time.Microsecond), startBy: startBy, idempotent: f[5] == "true",
		serviceTime: time.Duration(serviceTime) * time.Microsecond, objective: objective, fingerprint: poison.Fingerprint(fingerprint),
		movable: h.Get(headerMovable) != "",
		repeat:  h.Get(headerRepeat) != "",
		nested:  h.Get(headerNested) != "",
	}, true
}

// attemptResult is the result of an attempt, as it is sent between daemons. The error
// is nil if the target responded.
type attemptResult struct {
	err *outcome.Error
	// refusedByTarget is set if the target itself refused the request, not a daemon.
	refusedByTarget bool
}

// noHint stands for the absence of a hint in headerOutcome.
const noHint = "-"

func writeOutcome(h http.Header, result attemptResult, now time.Time) {
	wait := int64(-1)
	if !result.err.RetryAt.IsZero() {
		wait = max(0, result.err.RetryAt.Sub(now).Milliseconds())
	}
	hint := result.err.Hint
	if hint == "" {
		hint = noHint
	}
	h[headerOutcome] = []string{strings.Join([]string{
		string(result.err.Outcome), string(result.err.Reason), strconv.FormatBool(result.refusedByTarget), strconv.FormatInt(wait, 10), hint, result.err.Detail,
	}, " ")}
}

func readOutcome(h http.Header, now time.Time) (attemptResult, bool) {
	f := strings.SplitN(h.Get(headerOutcome), " ", 6)
	if len(f) != 6 || !outcome.Outcome(f[0]).Valid() {
		return attemptResult{}, false
	}
	result := attemptResult{err: outcome.New(outcome.Outcome(f[0]), outcome.Reason(f[1]), f[5]), refusedByTarget: f[2] == "true"}
	if f[4] != noHint {
		result.err.Hint = f[4]
	}
	if wait, err := strconv.ParseInt(f[3], 10, 64); err == nil && wait >= 0 {
		result.err.RetryAt = now.Add(time.Duration(wait) * time.Millisecond)
	}
	return result, true
}

// paceScale converts the pace to the hundredths that are sent.
const paceScale = 100

func writeLoad(h http.Header, l fleet.Load) {
	h[headerLoad] = []string{strings.Join([]string{
		strconv.FormatUint(l.Sequence, 10), string(l.State), strconv.Itoa(int(l.Slots)),
		strconv.Itoa(int(l.Running)), strconv.Itoa(int(l.Queued)),
		strconv.FormatInt(l.WaitLow.Microseconds(), 10), strconv.FormatInt(l.WaitUrgent.Microseconds(), 10),
		strconv.FormatInt(l.Service.Microseconds(), 10), strconv.FormatInt(int64(l.Pace*paceScale), 10),
	}, " ")}
}

func readLoad(h http.Header, t *fleet.Target) (fleet.Load, bool) {
	f := strings.Fields(h.Get(headerLoad))
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
		Pace:       float64(n[8]) / paceScale,
	}, true
}

func writeWork(h http.Header, took time.Duration) {
	h[headerWork] = []string{strconv.FormatInt(took.Microseconds(), 10)}
}

func readWork(h http.Header) (time.Duration, bool) {
	us, err := strconv.ParseInt(h.Get(headerWork), 10, 64)
	return time.Duration(us) * time.Microsecond, err == nil && us > 0
}

func writeVersion(h http.Header, v route.Version, address string) {
	h[headerVersion] = []string{strconv.FormatUint(uint64(v), 10) + " " + address}
}

func readVersion(h http.Header) (route.Version, string) {
	text, address, _ := strings.Cut(h.Get(headerVersion), " ")
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
