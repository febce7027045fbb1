package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/client"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// localHeaderBytes limits the heads of calls from the VM and the platform.
	localHeaderBytes = 16 << 10
	// firstReadBytes is the memory that is charged for a body before any of it has arrived.
	firstReadBytes = 16 << 10
	// readGrowth is the factor by which the buffer of a body grows.
	readGrowth = 4
	// streamPrefixBytes is the first part of a body known to be too long to be sent again
	// that is read before a target is chosen.
	streamPrefixBytes = 64 << 10
	// earlyBytes is the memory of a response that is prepared before its turn, beside that
	// of its request: a buffered response grows to twice its limit.
	earlyBytes = 2 * maxBufferedBytes
)

// setAccount sets the account of what clients occupy.
func (s *Sidecar) setAccount(account *budget.Account) {
	s.account = account
	s.guard = client.New(account, s.meters.set, client.WithLog(s.log), client.WithClock(func() time.Time { return s.now() }),
		client.WithMaxHead(s.maxHead))
}

// maxHead returns the limit of heads in the configuration, 0 if there is none.
func (s *Sidecar) maxHead() int {
	if c := s.config.Current(); c != nil {
		return c.Limits.HeaderBytes
	}
	return 0
}

// charged adds the memory of a response that was prepared before its turn.
func (s *Sidecar) charged(prepare func() *http1.Prepared) *http1.Prepared {
	release := s.guard.Reserve(earlyBytes)
	if release == nil {
		return nil
	}
	p := prepare()
	if p == nil {
		release()
		return nil
	}
	return &http1.Prepared{
		Respond: func(w http.ResponseWriter, r *http.Request) {
			defer release()
			p.Respond(w, r)
		},
		Discard: func() {
			defer release()
			p.Discard()
		},
	}
}

// takeExchange takes the place that a request needs at a target or another daemon, and reports
// whether there is one. One that is started before its turn does not wait. release gives it back.
func (s *Sidecar) takeExchange(ctx context.Context, q *request, early bool) bool {
	if early {
		q.exchange = s.guard.TakeEarlyExchange(ctx)
	} else {
		q.exchange = s.guard.AwaitExchange(ctx, q.deadline)
	}
	return q.exchange != nil
}

// release gives back what the request has taken from the account. It may be called more than
// once, by one goroutine.
func (q *request) release(a *budget.Account) {
	q.claim.Release()
	q.giveExchange(a)
	if q.streaming {
		a.GiveStream()
		q.streaming = false
	}
}

// giveExchange gives the descriptor of the request back. A response that was read completely
// needs none, also if its client does not read it.
func (q *request) giveExchange(a *budget.Account) {
	if q.exchange != nil {
		a.Exchanges.Release(q.exchange)
		q.exchange = nil
	}
}

// occupy takes memory and a descriptor for a request and reads its body. If that fails, it
// returns the status and the detail of the response; nothing was sent to a target then.
func (s *Sidecar) occupy(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, limit int64, early bool) (int, string) {
	q.claim = s.account.Claim(q.priority)
	if !q.claim.Grow(budget.RequestCost(r.Header), s.now()) {
		s.guard.CountRefused(client.Memory, budget.Callers)
		return http.StatusServiceUnavailable, client.ErrNoMemory.Error()
	}
	if err := s.readBody(w, r, q, limit); err != nil {
		switch {
		case errors.Is(err, client.ErrNoStream):
			s.guard.CountRefused(client.Streams, budget.Callers)
		case errors.Is(err, client.ErrNoMemory):
			s.guard.CountRefused(client.Memory, budget.Callers)
		}
		return bodyFailure(err)
	}
	if !s.takeExchange(ctx, q, early) {
		if !early {
			s.guard.CountRefused(client.Exchanges, budget.Callers)
		}
		return http.StatusServiceUnavailable, client.ErrNoPlace.Error()
	}
	return 0, ""
}

// readCharged reads up to limit bytes and charges them to the claim before they arrive. whole
// is set if the body has ended.
func readCharged(claim *budget.Claim, body io.Reader, limit int, now func() time.Time) (read []byte, whole bool, err error) {
	for {
		if len(read) == limit {
			return read, false, nil
		}
		if len(read) == cap(read) {
			size := min(limit, max(firstReadBytes, readGrowth*cap(read)))
			if !claim.GrowBody(fleet.Bytes(size-cap(read)), fleet.Bytes(size), now()) {
				return nil, false, client.ErrNoMemory
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if n > 0 {
			claim.Progress(now())
		}
		if errors.Is(err, io.EOF) {
			return read, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// closeUnread makes the connection of a refused request end after the response if its body was
// not read: net/http would otherwise read on and wait for the rest before it responds.
func (s *Sidecar) closeUnread(w http.ResponseWriter, r *http.Request, status int) {
	if r.ContentLength == 0 || status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout {
		return
	}
	w.Header()["Connection"] = []string{"close"}
	s.enableFullDuplex(w)
}

// chargeAttempt charges an attempt of another daemon to the account. It returns a reason if there
// is no room.
func (s *Sidecar) chargeAttempt(ctx context.Context, r *http.Request, params attemptParams) (claim *budget.Claim, release func(), reason client.Reason) {
	claim = s.account.Claim(params.priority)
	if !claim.Grow(budget.RequestCost(r.Header), s.now()) {
		return nil, nil, client.Memory
	}
	place := s.guard.AwaitAttempt(ctx, params.deadline, r.ContentLength < 0 || r.ContentLength > maxReplayBytes)
	if place == nil {
		claim.Release()
		return nil, nil, client.Attempts
	}
	return claim, func() {
		claim.Release()
		s.account.Attempts.Release(place)
	}, ""
}

// beginLongBody admits a run whose body is too long to be read before it. Such bodies may stall
// at the target, so that they get at most half of its slots. The caller calls end.
func (s *Sidecar) beginLongBody(a *localAttempt) (end func(), err *outcome.Error) {
	if a.stream == nil || a.length >= 0 && a.length <= maxReplayBytes {
		return func() {}, nil
	}
	if s.longBodies.Add(1) > max(1, int64(s.limit.Value())/2) && !limitLongBodies.Off() {
		s.longBodies.Add(-1)
		s.guard.CountRefused(client.Streams, budget.Exchanges)
		return nil, outcome.New(outcome.NotRun, outcome.Overloaded, "too many long bodies at the target")
	}
	return func() { s.longBodies.Add(-1) }, nil
}
