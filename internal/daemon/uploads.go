package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/store"
	"pollenscale/core/upload"
	"pollenscale/io/caller"

	"github.com/cockroachdb/errors"
)

const (
	// deliveryTimeout bounds one delivery attempt.
	deliveryTimeout = 10 * time.Minute
)

// uploads accepts deferred requests for any service, and delivers those of the own
// service when the target has a free slot.
type uploads struct {
	queue        *upload.Queue
	self         fleet.Target
	sequencer    *attempt.Sequencer
	openAttempts map[upload.Attempt]attempt.OpenAttempt
	policy       func() *policy.Set
	load         func() fleet.Load
	invoke       func(context.Context, attempt.Ref, *call.Request) (*call.Answer, error)
	settle       func(context.Context, fleet.Target, attempt.Ref) (attempt.Settlement, error)
	lookupMember func(fleet.DaemonID) (fleet.Target, bool)
}

func newUploads(self fleet.Target, tables store.Tables, objects store.Objects, fleetSize func() int) *uploads {
	u := &uploads{
		self: self,
		// Deliveries have their own attempt sequence. In the sequence of requests, a
		// long delivery would hold back the watermark.
		sequencer:    &attempt.Sequencer{Daemon: self.Daemon + "/uploads", Incarnation: self.Incarnation},
		openAttempts: map[upload.Attempt]attempt.OpenAttempt{},
	}
	u.queue = upload.New(tables, objects, self.Service, self.Daemon, self.Incarnation, upload.WithFleetSize(fleetSize))
	u.queue.HasCapacity = u.hasCapacity
	u.queue.OpenAttempt = u.openAttempt
	u.queue.CloseAttempt = u.closeAttempt
	u.queue.Deliver = u.deliver
	u.queue.SettleAttempt = u.settleAttempt
	return u
}

// accept stores a deferred request and answers 202.
func (u *uploads) accept(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	body, err := r.Body.Reader(r.ContentLength)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	record, err := u.queue.Accept(ctx, upload.Request{
		Service:      service.Name,
		Organisation: r.Organisation,
		Method:       r.Method,
		URI:          r.URI,
		Header:       r.Header,
		Size:         fleet.Bytes(r.ContentLength),
		Idempotent:   service.Route(r.Method, r.Path).Idempotent,
		Key:          r.Key,
		Fingerprint:  upload.FingerprintOf(r.Method, r.URI, fleet.Bytes(r.ContentLength)),
	}, body)
	if err != nil {
		return nil, err
	}
	answer, err := statusAnswer(http.StatusAccepted, record)
	if err != nil {
		return nil, err
	}
	answer.Header["Location"] = []string{caller.UploadPath + string(record.ID)}
	answer.Outcome = outcome.NotRun
	return answer, nil
}

// uploadStatus is the JSON representation of an upload's state for callers.
type uploadStatus struct {
	ID      upload.ID
	Service fleet.Service
	State   upload.State
	Size    fleet.Bytes
	Outcome outcome.Outcome `json:",omitempty"`
	Status  int             `json:",omitempty"`
	Detail  string          `json:",omitempty"`
}

func statusAnswer(status int, r upload.Record) (*call.Answer, error) {
	body, err := json.Marshal(uploadStatus{
		ID:      r.ID,
		Service: r.Request.Service,
		State:   r.State,
		Size:    r.Size,
		Outcome: r.Outcome,
		Status:  r.Status,
		Detail:  r.Detail,
	})
	if err != nil {
		return nil, errors.Wrap(err, "upload status")
	}
	header := call.Header{"Content-Type": {"application/json"}}
	return bytesAnswer(outcome.Run, status, header, body), nil
}

// ServeHTTP answers requests for the state of an upload.
func (u *uploads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := upload.ID(strings.TrimPrefix(r.URL.EscapedPath(), caller.UploadPath))
	record, err := u.queue.Status(r.Context(), id)
	switch {
	case errors.Is(err, upload.ErrNotFound):
		http.Error(w, "no such upload", http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, "the store does not answer", http.StatusServiceUnavailable)
		return
	}
	answer, err := statusAnswer(http.StatusOK, record)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.Copy(w, answer.Body) // fails if the caller has disconnected
}

// hasCapacity reports whether the target has a free slot and no queued requests.
func (u *uploads) hasCapacity() bool {
	l := u.load()
	return l.State.TakesWork() && l.Queued == 0 && l.Running < uint32(l.Slots)
}

func (u *uploads) openAttempt() (upload.Attempt, bool) {
	open := u.sequencer.Open(u.self)
	a := upload.Attempt{
		Daemon:            open.Ref.ID.Daemon,
		Incarnation:       open.Ref.ID.Incarnation,
		Sequence:          uint64(open.Ref.ID.Sequence),
		Target:            u.self.Daemon,
		TargetIncarnation: u.self.Incarnation,
	}
	u.openAttempts[a] = open
	return a, true
}

func (u *uploads) closeAttempt(a upload.Attempt) {
	open, ok := u.openAttempts[a]
	if !ok {
		return
	}
	delete(u.openAttempts, a)
	open.Close()
}

// deliver sends an upload to the target through the own admission queue, and returns
// the status of the response.
func (u *uploads) deliver(ctx context.Context, a upload.Attempt, record upload.Record, body io.Reader) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	r := &call.Request{
		Service:       record.Request.Service,
		Organisation:  record.Request.Organisation,
		Rank:          u.leastUrgentRank(),
		Deadline:      time.Now().Add(deliveryTimeout),
		Idempotent:    record.Request.Idempotent,
		Key:           record.Request.Key,
		Method:        record.Request.Method,
		URI:           record.Request.URI,
		Header:        record.Request.Header,
		ContentLength: int64(record.Size),
		Body:          call.NewBody(body, int64(record.Size)),
	}
	answer, err := u.invoke(ctx, attemptRef(a), r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return answer.Status, outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
	}
	return answer.Status, nil
}

// leastUrgentRank returns the least urgent rank of the own service. Deliveries have this
// rank, so that they yield to all other requests.
func (u *uploads) leastUrgentRank() fleet.Rank {
	service := u.policy().Service(u.self.Service)
	if service == nil || len(service.Ranks) == 0 {
		return ""
	}
	return service.Ranks[len(service.Ranks)-1].Name
}

func attemptRef(a upload.Attempt) attempt.Ref {
	return attempt.Ref{
		ID:     attempt.ID{Daemon: a.Daemon, Incarnation: a.Incarnation, Sequence: attempt.Sequence(a.Sequence)},
		Target: a.TargetIncarnation,
	}
}

// settleAttempt asks the daemon of a delivery's target for the binding outcome of the
// attempt.
func (u *uploads) settleAttempt(ctx context.Context, a upload.Attempt) (outcome.Outcome, bool, error) {
	target, ok := u.lookupMember(a.Target)
	if !ok {
		return "", false, errors.Newf("daemon %s is not a known member", a.Target)
	}
	s, err := u.settle(ctx, target, attemptRef(a))
	return s.Outcome, s.Running, err
}

// run delivers uploads until ctx ends.
func (u *uploads) run(ctx context.Context) error {
	return u.queue.Run(ctx)
}
