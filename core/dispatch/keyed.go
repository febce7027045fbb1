package dispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/wait"
)

// maxStoredBody is the size of the largest answer body that is stored for
// requests that repeat a key.
const maxStoredBody = 16 << 10

// Claim is the permission of a key's owner to run a request once.
type Claim struct {
	// FencingToken is sent with each attempt.
	FencingToken call.FencingToken
	// StoredAnswer is the stored answer to an earlier request with the same key.
	// If it is set, the request is not run and Finish is not called.
	StoredAnswer *call.Answer
	// Finish records the completion of the request. It is called exactly once.
	Finish func(Completion)
}

// Completion is the final result of a request with an idempotency key.
type Completion struct {
	Outcome outcome.Outcome
	// Status and Header are those of the answer, if there was one.
	Status int
	Header call.Header
	// Body is the complete body if HasBody is set. Larger bodies are not stored.
	Body    []byte
	HasBody bool
}

const (
	// handoverTimeout bounds the wait for a new owner after a planned stop. After
	// a crash the lease stays valid for up to a minute, which is longer than any
	// caller waits.
	handoverTimeout       = 2 * time.Second
	handoverRetryInterval = 50 * time.Millisecond
)

// keyed reports whether the owner of the idempotency key decides on the request.
func (d *Dispatcher) keyed(route policy.Route, r *call.Request) bool {
	if r.Key == "" || route.Idempotent {
		return false
	}
	return route.KeyRule == policy.KeyStamped || route.KeyRule == policy.KeyRecorded
}

// keyedCall lets the key's owner, which may be this daemon, decide on the request
// and run it. While ownership of the key changes, the owner is looked up again.
func (d *Dispatcher) keyedCall(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.Owner == nil {
		return nil, keyUnknown("no owner of the key can be reached")
	}
	retryUntil := d.now().Add(handoverTimeout)
	for copies := 1; ; copies++ {
		answer, undecided, err := d.runByOwner(ctx, service, r)
		if err == nil {
			return answer, nil
		}
		if copies > 1 && reasonOf(err) == outcome.Running {
			// The owner still runs an earlier copy of this request, whose
			// connection was considered lost. Its answer is stored for the key.
			retryUntil, undecided = d.now().Add(handoverTimeout), true
		}
		if !undecided || d.now().After(retryUntil) || !wait.For(ctx, handoverRetryInterval) || !r.Body.Rewind() {
			return nil, err
		}
	}
}

// runByOwner looks up the owner once and lets it run the request. The flag
// undecided is set if certainly no owner decided on the request.
func (d *Dispatcher) runByOwner(ctx context.Context, service *policy.Service, r *call.Request) (answer *call.Answer, undecided bool, err error) {
	owner, own, err := d.Owner(ctx, service, r)
	if err != nil {
		return nil, true, err
	}
	if !own {
		return d.forward(ctx, owner, r)
	}
	if answer, err = d.claimAndRun(ctx, service, r); err != nil && refusedByNonOwner(err) {
		return nil, true, keyUnknown("the owner of the key did not decide: " + err.Error())
	}
	return answer, false, err
}

// forward sends the request to the owner. The flag undecided is set if certainly
// no owner decided on the request, so that the owner can be looked up again.
//
// A 'not run' that the owner itself answers holds for the key. Any other evidence
// says only that this copy did not run, while an earlier copy with the same key
// may have.
func (d *Dispatcher) forward(ctx context.Context, owner fleet.Target, r *call.Request) (answer *call.Answer, undecided bool, err error) {
	forwarded := *r
	forwarded.ForwardedToOwner = true
	open := d.Sequencer.Open(owner)
	answer, err = d.Send(ctx, owner, open.Ref, &forwarded)
	if err == nil {
		answer.Body = &closeHook{ReadCloser: answer.Body, onClose: open.Close}
		return answer, false, nil
	}
	decided := outcome.Of(err) == outcome.NotRun && !refusedBeforeDecision(err)
	err = d.settleIfUnknown(ctx, owner, open.Ref, err)
	open.Close()
	if outcome.Of(err) != outcome.NotRun && !refusedByNonOwner(err) || decided {
		return nil, false, err
	}
	return nil, true, keyUnknown("the owner of the key did not decide: " + err.Error())
}

// refusedBeforeDecision reports whether a request was refused before the owner
// looked up the key.
func refusedBeforeDecision(err error) bool {
	r := reasonOf(err)
	return r == outcome.ConnectionLost || r == outcome.StaleAttempt || r == outcome.Draining
}

// refusedByNonOwner reports whether a daemon refused to decide because it does not
// or no longer own the key. In that case only an earlier copy of the request can
// have run.
func refusedByNonOwner(err error) bool {
	r := reasonOf(err)
	return outcome.Of(err) == outcome.Unknown && (r == outcome.NotOwner || r == outcome.Draining)
}

func keyUnknown(detail string) error {
	return outcome.New(outcome.Unknown, outcome.KeyUnknown, detail)
}

// DoForwarded claims the key of a request that another entry forwarded to this
// daemon as the owner, and runs the request. The answer's body must be closed.
func (d *Dispatcher) DoForwarded(ctx context.Context, r *call.Request) (*call.Answer, error) {
	r.ForwardedToOwner = false
	service, route, err := d.prepare(r)
	if err != nil {
		return nil, d.inDoubtIfKeyed(route, r, err)
	}
	if !d.keyed(route, r) {
		return nil, keyUnknown("the key rule changed")
	}
	if err := d.fingerprint(r); err != nil {
		return nil, d.inDoubtIfKeyed(route, r, err)
	}
	return d.claimAndRun(ctx, service, r)
}

// inDoubtIfKeyed changes the outcome 'not run' to 'unknown' for a keyed request
// whose key has not been claimed, since an earlier copy may have run.
func (d *Dispatcher) inDoubtIfKeyed(route policy.Route, r *call.Request, err error) error {
	return unknownIfInDoubt(err, d.keyed(route, r))
}

func (d *Dispatcher) claimAndRun(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.Claim == nil {
		return nil, keyUnknown("this daemon does not own the key")
	}
	claim, err := d.Claim(ctx, service, r)
	if err != nil {
		return nil, err
	}
	if claim.StoredAnswer != nil {
		return claim.StoredAnswer, nil
	}
	r.FencingToken = claim.FencingToken
	answer, err := d.runAttempts(ctx, service, r)
	if err != nil {
		claim.Finish(Completion{Outcome: outcome.Of(err)})
		return nil, err
	}
	answer.Body = &recordingBody{body: answer.Body, answer: answer, finish: claim.Finish}
	return answer, nil
}

// recordingBody is an answer body that keeps a copy of a small body for the record
// of the key.
type recordingBody struct {
	body     io.ReadCloser
	answer   *call.Answer
	finish   func(Completion)
	buffer   bytes.Buffer
	complete bool
	tooLarge bool
	closed   bool
}

// Read reads from the body and copies what it reads.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.buffer.Len()+n > maxStoredBody {
		b.tooLarge = true
		b.buffer.Reset()
	}
	if !b.tooLarge {
		b.buffer.Write(p[:n])
	}
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close records the completion of the request and closes the body.
func (b *recordingBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	completion := Completion{Outcome: outcome.Run, Status: b.answer.Status, Header: b.answer.Header}
	if b.complete && !b.tooLarge {
		completion.Body, completion.HasBody = b.buffer.Bytes(), true
	}
	b.finish(completion)
	return b.body.Close()
}

// closeHook is a body that calls a function once, after it has been closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls the function.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}
