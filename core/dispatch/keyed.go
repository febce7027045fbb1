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

// keepBytes is the largest answer that is kept for a repeated key.
const keepBytes = 16 << 10

// Claim is the permission of a key's owner to run a request once.
type Claim struct {
	// FencingToken goes with each attempt.
	FencingToken call.Fence
	// StoredAnswer is the kept answer to an earlier request with the same key. When it
	// is set, nothing is run and Finish is not called.
	StoredAnswer *call.Answer
	// Finish records how the request ended. It is called exactly once.
	Finish func(Completion)
}

// Completion is the end of a request with a key.
type Completion struct {
	Outcome outcome.Outcome
	// Status and Header are those of the answer, if there was one.
	Status int
	Header call.Header
	// Body is the whole body if Kept is set. Larger answers are not kept.
	Body    []byte
	HasBody bool
}

const (
	// handoverWait bounds the wait for a new owner after a planned stop. After a
	// crash the lease runs for up to a minute, which no caller waits out.
	handoverWait  = 2 * time.Second
	handoverPause = 50 * time.Millisecond
)

// keyed reports whether an owner decides about the request.
func (d *Dispatcher) keyed(route policy.Route, r *call.Request) bool {
	if r.Key == "" || route.Idempotent {
		return false
	}
	return route.KeyRule == policy.KeyStamped || route.KeyRule == policy.KeyRecorded
}

// keyedCall has the key's owner decide, which may be this daemon. While the
// owner changes, it is looked up again.
func (d *Dispatcher) keyedCall(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.Owner == nil {
		return nil, unvouched("no owner of the key can be reached")
	}
	until := d.now().Add(handoverWait)
	for copies := 1; ; copies++ {
		answer, moved, err := d.decide(ctx, service, r)
		if err == nil {
			return answer, nil
		}
		if copies > 1 && reasonOf(err) == outcome.Running {
			// The owner has not ended an earlier copy of this request, whose
			// connection was taken for lost. Its answer is kept for the key.
			until, moved = d.now().Add(handoverWait), true
		}
		if !moved || d.now().After(until) || !wait.For(ctx, handoverPause) || !r.Body.Again() {
			return nil, err
		}
	}
}

// decide looks up the owner once. The flag moved is set when the request surely
// did not reach an owner's decision.
func (d *Dispatcher) decide(ctx context.Context, service *policy.Service, r *call.Request) (answer *call.Answer, moved bool, err error) {
	owner, own, err := d.Owner(ctx, service, r)
	if err != nil {
		return nil, true, err
	}
	if !own {
		return d.forward(ctx, owner, r)
	}
	if answer, err = d.claimed(ctx, service, r); err != nil && handedOver(err) {
		return nil, true, unvouched("the owner of the key did not decide: " + err.Error())
	}
	return answer, false, err
}

// forward has the owner decide. The flag moved is set when the request surely
// did not reach an owner's decision, so that the owner can be looked up again.
//
// An owner's own answer that the request did not run vouches for the key.
// Any other evidence says only that this copy did not run, while an earlier
// copy with the same key may have.
func (d *Dispatcher) forward(ctx context.Context, owner fleet.Target, r *call.Request) (answer *call.Answer, moved bool, err error) {
	forwarded := *r
	forwarded.OwnKey = true
	open := d.Opener.Open(owner)
	answer, err = d.Send(ctx, owner, open.Ref, &forwarded)
	if err == nil {
		answer.Body = &closer{ReadCloser: answer.Body, then: open.Close}
		return answer, false, nil
	}
	vouched := outcome.Of(err) == outcome.NotRun && !undecided(err)
	err = d.settled(ctx, owner, open.Ref, err)
	open.Close()
	if outcome.Of(err) != outcome.NotRun && !handedOver(err) || vouched {
		return nil, false, err
	}
	return nil, true, unvouched("the owner of the key did not decide: " + err.Error())
}

// undecided reports whether a refusal came before the owner looked at the key.
func undecided(err error) bool {
	r := reasonOf(err)
	return r == outcome.ConnectionLost || r == outcome.StaleAttempt || r == outcome.Draining
}

// handedOver reports whether a daemon refused to decide because it is not, or no
// longer, the owner of the key. Only an earlier copy of the request can have run.
func handedOver(err error) bool {
	r := reasonOf(err)
	return outcome.Of(err) == outcome.Unknown && (r == outcome.NotOwner || r == outcome.Draining)
}

func unvouched(detail string) error {
	return outcome.New(outcome.Unknown, outcome.KeyUnknown, detail)
}

// DoForwarded decides about the key of a request that another entry forwarded, and
// sends the request on. The answer's body must be closed.
func (d *Dispatcher) DoForwarded(ctx context.Context, r *call.Request) (*call.Answer, error) {
	r.OwnKey = false
	service, route, err := d.prepare(r)
	if err != nil {
		return nil, d.unlessKeyed(route, r, err)
	}
	if !d.keyed(route, r) {
		return nil, unvouched("the key rule changed")
	}
	if err := d.identify(r); err != nil {
		return nil, d.unlessKeyed(route, r, err)
	}
	return d.claimed(ctx, service, r)
}

// unlessKeyed replaces a refusal of a request whose key nobody has vouched for
// by one that leaves open whether an earlier copy ran.
func (d *Dispatcher) unlessKeyed(route policy.Route, r *call.Request, err error) error {
	return doubted(err, d.keyed(route, r))
}

func (d *Dispatcher) claimed(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.Claim == nil {
		return nil, unvouched("this daemon does not own the key")
	}
	claim, err := d.Claim(ctx, service, r)
	if err != nil {
		return nil, err
	}
	if claim.StoredAnswer != nil {
		return claim.StoredAnswer, nil
	}
	r.Fence = claim.FencingToken
	answer, err := d.attempts(ctx, service, r)
	if err != nil {
		claim.Finish(Completion{Outcome: outcome.Of(err)})
		return nil, err
	}
	answer.Body = &keeper{body: answer.Body, answer: answer, finish: claim.Finish}
	return answer, nil
}

// keeper passes a body on and keeps a small one for the key's record.
type keeper struct {
	body   io.ReadCloser
	answer *call.Answer
	finish func(Completion)
	kept   bytes.Buffer
	whole  bool
	large  bool
	done   bool
}

// Read passes on and keeps what it reads.
func (k *keeper) Read(p []byte) (int, error) {
	n, err := k.body.Read(p)
	if k.kept.Len()+n > keepBytes {
		k.large = true
		k.kept.Reset()
	}
	if !k.large {
		k.kept.Write(p[:n])
	}
	if err == io.EOF {
		k.whole = true
	}
	return n, err
}

// Close records the end of the request.
func (k *keeper) Close() error {
	if k.done {
		return nil
	}
	k.done = true
	f := Completion{Outcome: outcome.Run, Status: k.answer.Status, Header: k.answer.Header}
	if k.whole && !k.large {
		f.Body, f.HasBody = k.kept.Bytes(), true
	}
	k.finish(f)
	return k.body.Close()
}

// closer calls a function once after the body is closed.
type closer struct {
	io.ReadCloser
	then func()
}

// Close closes the body.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	if c.then != nil {
		c.then()
		c.then = nil
	}
	return err
}
