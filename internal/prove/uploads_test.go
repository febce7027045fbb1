package prove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/store"
	"pollenscale/core/upload"
)

// uploadCopy is one copy of an upload, as a caller sent it to one daemon.
type uploadCopy struct {
	body     string
	request  upload.Request
	id       upload.ID
	outcome  outcome.Outcome // of a refusal
	answered bool
}

func (p *process) startUploadQueue(tables store.Tables) {
	w := p.host.world
	c := upload.New(tables, p.gatedObjects(w.store.Objects()), service, p.host.id, p.incarnation,
		upload.WithRandom(p.host.randomFloat),
		upload.WithFleetSize(func() int { return hostCount }),
		upload.WithNewUUID(func() string {
			return fmt.Sprintf("%s-%d-%d", p.host.id, p.incarnation, p.nextSequence())
		}))
	c.Log = discardLogger()
	c.HasCapacity = func() bool {
		_, up, _ := p.host.target.state()
		return up
	}
	c.OpenAttempt = p.openUploadAttempt
	c.CloseAttempt = p.closeUploadAttempt
	c.Deliver = p.deliverUpload
	c.SettleAttempt = func(_ context.Context, a upload.Attempt) (outcome.Outcome, bool, error) {
		s, ok := p.settle(w.hostByID(a.Target), attemptRef(a))
		if !ok {
			return "", false, errors.New("no answer")
		}
		return s.Outcome, s.Running, nil
	}
	p.uploads = c
}

func (p *process) openUploadAttempt() (upload.Attempt, bool) {
	w := p.host.world
	opened, ok := p.newAttempt(w.hosts[w.randomInt(hostCount)])
	if !ok {
		return upload.Attempt{}, false
	}
	a := upload.Attempt{
		Daemon:            p.host.id,
		Incarnation:       p.incarnation,
		Sequence:          uint64(opened.Ref.ID.Sequence),
		Target:            opened.to.id,
		TargetIncarnation: opened.Ref.Target,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openUploads[a] = opened.OpenAttempt
	return a, true
}

func (p *process) closeUploadAttempt(a upload.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openUploads[a].Close()
	delete(p.openUploads, a)
}

// attemptRef returns the reference by which another daemon settles the attempt.
func attemptRef(a upload.Attempt) attempt.Ref {
	return attempt.Ref{
		ID:     attempt.ID{Daemon: a.Daemon, Incarnation: a.Incarnation, Sequence: attempt.Sequence(a.Sequence)},
		Target: a.TargetIncarnation,
	}
}

// deliverUpload sends an upload to the target's daemon that the attempt addresses.
func (p *process) deliverUpload(_ context.Context, a upload.Attempt, r upload.Record, body io.Reader) (int, error) {
	w := p.host.world
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, outcome.New(outcome.NotRun, outcome.StoreDown, err.Error())
	}
	p.mu.Lock()
	ref := p.openUploads[a].Ref
	p.mu.Unlock()
	answer := p.sendAndSettle(w.hostByID(a.Target), ref, "", 0, func(receiver *process) reply {
		return receiver.runRequest(poison.FingerprintOf(service, "PUT", string(r.ID), "", nil), false, 3, func() reply {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.executions = append(w.executions, execution{upload: string(r.ID), body: string(data)})
			status := 200
			if w.random.IntN(25) == 0 {
				status = 500
			}
			return reply{outcome: outcome.Run, status: status}
		})
	})
	if answer.outcome != outcome.Run {
		return 0, outcome.New(answer.outcome, answer.reason, "")
	}
	return answer.status, nil
}

// startUploaders send uploads, some of them with a key and more than once.
func (w *simulation) startUploaders(n int) {
	for i := range n {
		at := w.randomDuration(2*time.Second, faultPhase)
		r := upload.Request{Service: service, Organisation: "puente", Method: "PUT", URI: "/material", Idempotent: i%2 == 0}
		body := fmt.Sprintf("reference audio %d", i)
		r.Size = fleet.Bytes(len(body))
		r.Fingerprint = upload.FingerprintOf(r.Method, r.URI, r.Size)
		copies := 1
		if w.randomInt(3) == 0 {
			r.Key = fmt.Sprintf("upload-%d", i)
			copies = 3
		}
		for c := range copies {
			delay := at + time.Duration(c)*w.randomDuration(0, 40*time.Second)
			w.spawn(func() {
				if w.sleep(delay) {
					w.sendUpload(r, body)
				}
			})
		}
	}
}

func (w *simulation) sendUpload(r upload.Request, body string) {
	sent := &uploadCopy{body: body, request: r}
	w.mu.Lock()
	w.uploads = append(w.uploads, sent)
	w.mu.Unlock()
	entry := w.hosts[w.randomInt(hostCount)].currentProcess()
	if entry == nil {
		return
	}
	var id upload.ID
	var refused *outcome.Error
	if !entry.runAndWait(func() {
		ctx, cancel := context.WithTimeout(entry.ctx, 10*time.Second)
		defer cancel()
		record, err := entry.uploads.Accept(ctx, r, strings.NewReader(body))
		id = record.ID
		errors.As(err, &refused)
	}) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sent.answered, sent.id = true, id
	if refused != nil {
		sent.outcome = refused.Outcome
	}
}

// checkUploads requires that each accepted upload was delivered or is parked
// with its body, and that one refused as not run did not run.
func (w *simulation) checkUploads(ctx context.Context) {
	runs := map[string][]execution{}
	byBody := map[string]int{}
	for _, r := range w.executions {
		if r.upload != "" {
			runs[r.upload] = append(runs[r.upload], r)
			byBody[r.body]++
		}
	}
	reader := upload.New(w.store.Tables(), w.store.Objects(), service, "check", 1)
	accepted := map[string]bool{}
	for _, u := range w.uploads {
		if u.id != "" {
			accepted[u.body] = true
			w.checkAccepted(ctx, reader, u, runs[string(u.id)])
		}
		if !u.request.Idempotent && byBody[u.body] > 1 {
			w.violations = append(w.violations, fmt.Sprintf("upload %q ran %d times", u.body, byBody[u.body]))
		}
	}
	for _, u := range w.uploads {
		if u.outcome == outcome.NotRun && u.request.Key == "" && byBody[u.body] > 0 {
			w.violations = append(w.violations, fmt.Sprintf("upload %q was told 'not run' and ran", u.body))
		}
	}
}

func (w *simulation) checkAccepted(ctx context.Context, reader *upload.Queue, u *uploadCopy, runs []execution) {
	record, err := reader.Status(ctx, u.id)
	if err != nil {
		w.violations = append(w.violations, fmt.Sprintf("upload %s is lost: %v", u.id, err))
		return
	}
	for _, r := range runs {
		if r.body != u.body {
			w.violations = append(w.violations, fmt.Sprintf("upload %s was delivered as %q", u.id, r.body))
		}
	}
	switch record.State {
	case upload.Delivered:
		if len(runs) == 0 {
			w.violations = append(w.violations, fmt.Sprintf("upload %s is recorded as delivered but never ran", u.id))
		}
	case upload.Parked:
		if _, err := w.store.Objects().Get(ctx, record.Object); err != nil {
			w.violations = append(w.violations, fmt.Sprintf("parked upload %s has no body", u.id))
		}
	case upload.Accepted, upload.Delivering:
		w.violations = append(w.violations, fmt.Sprintf("upload %s is still %s (%s)", u.id, record.State, record.Detail))
	}
}
