package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/quota"
	"pollenscale/internal/mutant"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// callQuota asks for tokens of organisations.
	callQuota = "Quota"
	// quotaWait is how long a request waits for a token at most.
	quotaWait = 250 * time.Millisecond
	// quotaTryTimeout limits one question. Connecting to a daemon of another region and asking
	// it takes 120 ms at a latency of 30 ms each way.
	quotaTryTimeout = 150 * time.Millisecond
	// maxQuotaHops limits how many daemons are asked for one token.
	maxQuotaHops = 4
	// quotaFailureTime is how long a daemon that did not answer is asked only if there is no
	// other one.
	quotaFailureTime = time.Second
	// quotaRetryAfter is the Retry-After of a request that is rejected without an owner.
	quotaRetryAfter = 500 * time.Millisecond
	// maxQuotaBytes limits a question and an answer.
	maxQuotaBytes = 256 << 10
)

// enforceQuotas is a mechanism that tests can switch off.
var enforceQuotas = mutant.New("sidecar/quotas")

// quotaQuestion asks for tokens.
type quotaQuestion struct {
	// Need is the number of tokens that requests wait for, Ahead the number for later ones.
	Need  map[fleet.Organisation]int
	Ahead map[fleet.Organisation]int `json:",omitempty"`
	// Failed are the daemons that were taken for the owner and did not answer as such.
	Failed map[fleet.Organisation]fleet.DaemonID `json:",omitempty"`
}

// quotaAnswer is the answer for one organisation.
type quotaAnswer struct {
	Tokens int `json:"T,omitempty"`
	// WaitMs is the time until the next token, if fewer than needed were granted.
	WaitMs int64 `json:"W,omitempty"`
	// NotOwner is set if the daemon does not own the slot. Owner is the one it believes in.
	NotOwner bool           `json:"N,omitempty"`
	Owner    fleet.DaemonID `json:"O,omitempty"`
}

// errQuotaUnanswered is the result of a question that another request has sent in vain.
var errQuotaUnanswered = errors.New("no answer")

// quotaLane holds the requests that wait for an answer of one daemon. One question is in flight
// at a time; the requests that arrive meanwhile share the next one.
type quotaLane struct {
	busy    bool
	waiting []*quotaWaiter
}

// quotaWaiter is a request that waits for a token.
type quotaWaiter struct {
	organisation fleet.Organisation
	failed       fleet.DaemonID
	lead         chan struct{} // closed if the request has to send the next question
	done         chan struct{} // closed when the fields below are set
	granted      bool
	answer       quotaAnswer
	err          error
}

// takeQuota takes a token of the organisation's quota for a request, or returns why it has to be
// rejected.
func (s *Sidecar) takeQuota(ctx context.Context, q *request) *outcome.Error {
	if !limited(q.organisation) || enforceQuotas.Off() {
		return nil
	}
	view := s.quotaView()
	if view == nil {
		return nil // the configuration has changed
	}
	name := q.organisation.Name
	ok, denied := s.quotas.cache.Use(name, s.quotas.now())
	switch {
	case ok:
		return nil
	case denied > 0:
		return s.quotaDenied(denied)
	}
	ctx, cancel := context.WithTimeout(ctx, quotaWait)
	defer cancel()
	failed := s.lostQuotaOwner(name)
	asked := make([]fleet.DaemonID, 0, maxQuotaHops)
	for range maxQuotaHops {
		to := s.quotaOwner(view, name, asked)
		if to == "" || ctx.Err() != nil {
			break
		}
		asked = append(asked, to)
		a, granted, err := s.askQuota(ctx, to, name, failed)
		switch {
		case err != nil && ctx.Err() != nil:
			// The request cannot wait any longer, which says nothing about the daemon.
		case err != nil:
			failed = to
			s.noteQuotaOwner(name, to, "")
		case a.NotOwner:
			failed = cmp.Or(failed, to)
			s.noteQuotaOwner(name, to, a.Owner)
		case granted:
			s.quotaOwnerFound(name, to)
			return nil
		default:
			s.quotaOwnerFound(name, to)
			return s.quotaDenied(time.Duration(a.WaitMs) * time.Millisecond)
		}
	}
	s.quotas.unreachable.Inc()
	e := outcome.New(outcome.NotRun, quotaNoOwner, "the owner of the organisation's quota cannot be reached")
	e.RetryAt = s.now().Add(quotaRetryAfter)
	return e
}

// refusalStatus returns the status of the response to a request that was refused as not run.
func refusalStatus(err *outcome.Error) int {
	if err.Reason == quotaExceeded {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (s *Sidecar) quotaDenied(wait time.Duration) *outcome.Error {
	s.quotas.denied.Inc()
	e := outcome.New(outcome.NotRun, quotaExceeded, "the organisation's quota is used up")
	e.RetryAt = s.now().Add(max(wait, minRetryAfter))
	return e
}

// quotaOwner returns the daemon to ask for tokens: the one that is believed to own the slot, then
// the preferred owners, then the latest known owner, of which the others believe as well that it is
// lost, at last those that did not answer a short time ago.
func (s *Sidecar) quotaOwner(view *quotaView, name fleet.Organisation, asked []fleet.DaemonID) fleet.DaemonID {
	slot, now := quota.SlotOf(name), s.quotas.now()
	candidates := make([]fleet.DaemonID, 0, 6)
	recorded := fleet.DaemonID("") // owner in the store, as last read
	if l := s.quotas.leases.Load(); l != nil {
		recorded = l.Owner(slot, now)
	}
	if recorded == s.id {
		candidates = append(candidates, recorded)
	}
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	candidates = append(candidates, s.quotas.owners[slot], recorded)
	candidates = append(candidates, view.candidates(slot)...)
	candidates = append(candidates, s.quotas.lost[slot])
	var last fleet.DaemonID
	for _, id := range candidates {
		if id == "" || slices.Contains(asked, id) {
			continue
		}
		if at, ok := s.quotas.failed[id]; !ok || now.Sub(at) > quotaFailureTime {
			return id
		}
		if last == "" {
			last = id
		}
	}
	return last
}

// noteQuotaOwner records that a daemon has stated which one owns the organisation's slot. If it
// does not know, the daemon is no longer taken for the owner.
func (s *Sidecar) noteQuotaOwner(name fleet.Organisation, from, owner fleet.DaemonID) {
	slot := quota.SlotOf(name)
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	switch {
	case owner != "":
		s.quotas.owners[slot] = owner
	case s.quotas.owners[slot] == from:
		delete(s.quotas.owners, slot)
		s.quotas.lost[slot] = from
	}
}

// quotaOwnerFound records that a daemon has answered as the owner of the organisation's slot.
func (s *Sidecar) quotaOwnerFound(name fleet.Organisation, owner fleet.DaemonID) {
	slot := quota.SlotOf(name)
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	s.quotas.owners[slot] = owner
	delete(s.quotas.lost, slot)
}

// lostQuotaOwner returns the daemon that was the latest known owner of the organisation's slot
// and then did not answer, empty if there is another one.
func (s *Sidecar) lostQuotaOwner(name fleet.Organisation) fleet.DaemonID {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	return s.quotas.lost[quota.SlotOf(name)]
}

// askQuota asks a daemon, which may be this one, for a token.
func (s *Sidecar) askQuota(ctx context.Context, to fleet.DaemonID, name fleet.Organisation, failed fleet.DaemonID) (quotaAnswer, bool, error) {
	if to == s.id {
		a := s.answerQuota(name, 1, 0, failed)
		return a, a.Tokens > 0, nil
	}
	w := &quotaWaiter{organisation: name, failed: failed, lead: make(chan struct{}), done: make(chan struct{})}
	s.quotas.mu.Lock()
	lane := s.quotas.lanes[to]
	if lane == nil {
		lane = &quotaLane{}
		s.quotas.lanes[to] = lane
	}
	lane.waiting = append(lane.waiting, w)
	if !lane.busy {
		lane.busy = true
		close(w.lead)
	}
	s.quotas.mu.Unlock()
	select {
	case <-w.lead:
		s.leadQuota(ctx, to, lane)
		<-w.done
	case <-w.done:
	case <-ctx.Done():
		s.leaveQuota(lane, w)
		return quotaAnswer{}, false, ctx.Err()
	}
	return w.answer, w.granted, w.err
}

// leaveQuota removes a request that no longer waits. If it was about to send the next question,
// another one does.
func (s *Sidecar) leaveQuota(lane *quotaLane, w *quotaWaiter) {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	lane.waiting = slices.DeleteFunc(lane.waiting, func(o *quotaWaiter) bool { return o == w })
	select {
	case <-w.lead:
		lane.next()
	default:
	}
}

// next makes a waiting request send the next question. The caller holds the lock.
func (l *quotaLane) next() {
	l.busy = len(l.waiting) > 0
	if l.busy {
		close(l.waiting[0].lead)
	}
}

// leadQuota sends one question for all waiting requests.
func (s *Sidecar) leadQuota(ctx context.Context, to fleet.DaemonID, lane *quotaLane) {
	s.quotas.mu.Lock()
	batch := lane.waiting
	lane.waiting = nil
	s.quotas.mu.Unlock()
	question := quotaQuestion{Need: make(map[fleet.Organisation]int)}
	for _, w := range batch {
		question.Need[w.organisation]++
		if w.failed != "" {
			if question.Failed == nil {
				question.Failed = make(map[fleet.Organisation]fleet.DaemonID)
			}
			question.Failed[w.organisation] = w.failed
		}
	}
	sent := s.quotas.now()
	for name := range question.Need {
		if n := s.quotas.cache.Ahead(name, sent); n > 0 {
			if question.Ahead == nil {
				question.Ahead = make(map[fleet.Organisation]int)
			}
			question.Ahead[name] = n
		}
	}
	// The answer is for the other requests too, whatever becomes of this one.
	answers, err := s.sendQuotaQuestion(context.WithoutCancel(ctx), to, &question)
	s.applyQuotaAnswers(batch, answers, err, sent)
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	now := s.quotas.now()
	maps.DeleteFunc(s.quotas.failed, func(id fleet.DaemonID, at quota.Instant) bool { return id == to || now.Sub(at) > quotaFailureTime })
	if err != nil {
		s.quotas.failed[to] = now
	}
	if lane.next(); !lane.busy {
		delete(s.quotas.lanes, to) // daemons come and go
	}
}

// applyQuotaAnswers gives the tokens to the requests and keeps the remaining ones. Tokens that
// arrive after their lifetime are lost.
func (s *Sidecar) applyQuotaAnswers(batch []*quotaWaiter, answers map[fleet.Organisation]quotaAnswer, err error, sent quota.Instant) {
	left := make(map[fleet.Organisation]int, len(answers))
	now := s.quotas.now()
	for name, a := range answers {
		if now.Sub(sent) < quota.TokenLifetime {
			left[name] = max(0, a.Tokens)
		}
	}
	for _, w := range batch {
		a, ok := answers[w.organisation]
		w.answer, w.err = a, err
		switch {
		case err == nil && !ok:
			w.err = errQuotaUnanswered
		case left[w.organisation] > 0:
			left[w.organisation]--
			w.granted = true
		}
		close(w.done)
	}
	for name, a := range answers {
		s.quotas.cache.Put(name, left[name], sent)
		if a.WaitMs > 0 {
			s.quotas.cache.Deny(name, time.Duration(a.WaitMs)*time.Millisecond, now)
		}
	}
}

func (s *Sidecar) sendQuotaQuestion(ctx context.Context, to fleet.DaemonID, question *quotaQuestion) (map[fleet.Organisation]quotaAnswer, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, err
	}
	record, ok := s.roster.Record(to)
	if !ok {
		return nil, errors.Newf("daemon %q is not known", to)
	}
	s.quotas.questions.Inc()
	ctx, cancel := context.WithTimeout(ctx, quotaTryTimeout)
	defer cancel()
	header := http.Header{headerCall: {callQuota}}
	writeVersion(header, s.config.Version(), s.settings.Load().PeerAddress())
	r, err := s.peerPool(record.PeerAddress).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: record.PeerAddress, Header: header,
		Body: bytes.NewReader(body), Length: int64(len(body)), Deadline: s.now().Add(quotaTryTimeout),
	})
	if err != nil {
		return nil, err
	}
	s.noteConfigVersion(readVersion(r.Header))
	var answers map[fleet.Organisation]quotaAnswer
	err = json.NewDecoder(io.LimitReader(r, maxQuotaBytes)).Decode(&answers)
	return answers, errors.CombineErrors(err, r.Close())
}

// serveQuota answers the question of another daemon.
func (s *Sidecar) serveQuota(w http.ResponseWriter, r *http.Request) {
	s.endBodyAt(w, r, s.now().Add(fetchTimeout))
	var question quotaQuestion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxQuotaBytes)).Decode(&question); err != nil {
		http.Error(w, "question cannot be read", http.StatusBadRequest)
		return
	}
	answers := make(map[fleet.Organisation]quotaAnswer, len(question.Need))
	for name, need := range question.Need {
		answers[name] = s.answerQuota(name, max(0, need), max(0, question.Ahead[name]), question.Failed[name])
	}
	data, err := json.Marshal(answers)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		s.log.Debug("quota: writing an answer failed.", "error", err)
	}
}

// wakeQuotas makes runQuotas check the leases at once, so that a released slot has a new owner
// within a few calls to the store.
func (s *Sidecar) wakeQuotas() {
	select {
	case s.quotas.wake <- struct{}{}:
	default:
	}
}

// answerQuota grants tokens of an organisation according to the configuration of this daemon.
func (s *Sidecar) answerQuota(name fleet.Organisation, need, ahead int, failed fleet.DaemonID) quotaAnswer {
	view := s.quotaView()
	if view == nil {
		return quotaAnswer{NotOwner: true}
	}
	o := view.organisations[name]
	if o == nil {
		return quotaAnswer{NotOwner: true} // of a newer configuration, or removed
	}
	if !limited(o) {
		return quotaAnswer{Tokens: need}
	}
	leases, slot, now := s.quotaLeases(), quota.SlotOf(name), s.quotas.now()
	g := leases.Take(name, s.quotaTerms(o), need, ahead, now)
	if !g.Owned {
		owner := leases.Owner(slot, now)
		if leases.Suspect(slot, failed, now) {
			s.wakeQuotas()
		}
		if owner == failed {
			owner = ""
		}
		return quotaAnswer{NotOwner: true, Owner: owner}
	}
	s.quotas.granted.Add(g.Tokens)
	return quotaAnswer{Tokens: g.Tokens, WaitMs: g.Wait.Milliseconds()}
}
