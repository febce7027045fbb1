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
	// deliveryTimeout bounds one delivery.
	deliveryTimeout = 10 * time.Minute
)

// uploads accepts deferred requests of any service, and delivers those of the
// own service when the target has room.
type uploads struct {
	courier  *upload.Queue
	own      fleet.Target
	opener   *attempt.Sequencer
	open     map[upload.Attempt]attempt.OpenAttempt
	policy   func() *policy.Set
	load     func() fleet.Load
	invoke   func(context.Context, attempt.Ref, *call.Request) (*call.Answer, error)
	settle   func(context.Context, fleet.Target, attempt.Ref) (attempt.Settlement, error)
	memberOf func(fleet.DaemonID) (fleet.Target, bool)
}

func newUploads(own fleet.Target, tables store.Tables, objects store.Objects, fleetSize func() int) *uploads {
	u := &uploads{
		own: own,
		// A number of its own keeps the attempts of deliveries apart from those
		// of requests, whose watermark they would hold back.
		opener: &attempt.Sequencer{Daemon: own.Daemon + "/uploads", Incarnation: own.Incarnation},
		open:   map[upload.Attempt]attempt.OpenAttempt{},
	}
	u.courier = upload.New(tables, objects, own.Service, own.Daemon, own.Incarnation, upload.WithFleetSize(fleetSize))
	u.courier.HasCapacity = u.room
	u.courier.OpenAttempt = u.openAttempt
	u.courier.CloseAttempt = u.closeAttempt
	u.courier.Deliver = u.deliver
	u.courier.SettleAttempt = u.settleAttempt
	return u
}

// accept stores a deferred request and answers 202.
func (u *uploads) accept(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	body, err := r.Body.Reader(r.ContentLength)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	record, err := u.courier.Accept(ctx, upload.Request{
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

// status returns the state of an upload as callers see it.
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
	record, err := u.courier.Status(r.Context(), id)
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
	_, _ = io.Copy(w, answer.Body) // the caller may be gone
}

// room reports whether the target has a slot that nobody waits for.
func (u *uploads) room() bool {
	l := u.load()
	return l.State.TakesWork() && l.Queued == 0 && l.Running < uint32(l.Slots)
}

func (u *uploads) openAttempt() (upload.Attempt, bool) {
	open := u.opener.Open(u.own)
	a := upload.Attempt{
		Daemon:            open.Ref.ID.Daemon,
		Incarnation:       open.Ref.ID.Incarnation,
		Sequence:          uint64(open.Ref.ID.Sequence),
		Target:            u.own.Daemon,
		TargetIncarnation: u.own.Incarnation,
	}
	u.open[a] = open
	return a, true
}

func (u *uploads) closeAttempt(a upload.Attempt) {
	open, ok := u.open[a]
	if !ok {
		return
	}
	delete(u.open, a)
	open.Close()
}

// deliver hands an upload to the target through the own queue.
func (u *uploads) deliver(ctx context.Context, a upload.Attempt, record upload.Record, body io.Reader) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	r := &call.Request{
		Service:       record.Request.Service,
		Organisation:  record.Request.Organisation,
		Rank:          u.rank(),
		Deadline:      time.Now().Add(deliveryTimeout),
		Idempotent:    record.Request.Idempotent,
		Key:           record.Request.Key,
		Method:        record.Request.Method,
		URI:           record.Request.URI,
		Header:        record.Request.Header,
		ContentLength: int64(record.Size),
		Body:          call.NewBody(body, int64(record.Size)),
	}
	answer, err := u.invoke(ctx, ref(a), r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return answer.Status, outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
	}
	return answer.Status, nil
}

// rank returns the least urgent rank of the own service, since uploads wait for
// all other work.
func (u *uploads) rank() fleet.Rank {
	service := u.policy().Service(u.own.Service)
	if service == nil || len(service.Ranks) == 0 {
		return ""
	}
	return service.Ranks[len(service.Ranks)-1].Name
}

func ref(a upload.Attempt) attempt.Ref {
	return attempt.Ref{
		ID:     attempt.ID{Daemon: a.Daemon, Incarnation: a.Incarnation, Sequence: attempt.Sequence(a.Sequence)},
		Target: a.TargetIncarnation,
	}
}

// settleAttempt asks the daemon that made a delivery for a binding answer.
func (u *uploads) settleAttempt(ctx context.Context, a upload.Attempt) (outcome.Outcome, bool, error) {
	target, ok := u.memberOf(a.Target)
	if !ok {
		return "", false, errors.Newf("daemon %s is not known", a.Target)
	}
	s, err := u.settle(ctx, target, ref(a))
	return s.Outcome, s.Running, err
}

// run delivers uploads until ctx ends.
func (u *uploads) run(ctx context.Context) error {
	return u.courier.Run(ctx)
}
