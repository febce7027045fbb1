// Package load sends a mix of requests to daemons and checks the answers.
//
// Arrivals are an open loop: requests are sent at fixed times whatever became
// of the earlier ones, and latencies count from those times, so that a slow
// system cannot hide its delay by slowing the load down. Each answer must carry
// the nonce of its own request. Bookings carry a key; some are sent a second
// time with the same key to another daemon. At the end the run logs of the
// targets tell whether any of them ran twice.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Headers of requests and answers.
const (
	headerService      = "Pollenscale-Service"
	headerOrganisation = "Pollenscale-Organisation"
	headerRank         = "Pollenscale-Rank"
	headerDeadline     = "Pollenscale-Deadline"
	headerOutcome      = "Pollenscale-Outcome"
	headerKey          = "Idempotency-Key"
	headerNonce        = "Nonce"
)

const (
	// maxInFlight bounds the memory of the load itself; arrivals beyond it are
	// counted as Dropped and make the result invalid.
	maxInFlight = 20_000
	// grace is how long after its deadline an answer is still waited for.
	grace = 2 * time.Second
	// repeatAfter is the mean time until a booking is sent again.
	repeatAfter = 50 * time.Millisecond
	maxLatency  = time.Hour
	maxBody     = 16 << 20
)

// Load is a run of requests. Set Daemons, Kinds, Rate and Duration.
type Load struct {
	// Daemons are the URLs of the daemons' ports for callers.
	Daemons []string
	// RunLogs are the URLs of the targets' run logs, such as
	// http://127.0.0.1:9000/runs.
	RunLogs []string
	Kinds   []Kind
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// RepeatShare is the share of keyed requests that are sent twice.
	RepeatShare float64
	// MinAnswered is the share of each rank that must be answered, so that a
	// system which refuses everything does not pass.
	MinAnswered  float64
	Organisation fleet.Organisation
	Seed         uint64

	client *http.Client
	random *rand.Rand
	mu     sync.Mutex
	ranks  map[fleet.Rank]*rankCounts
	sent   map[string]*request
	result Result
}

// rankCounts are the counts of one rank under Load.mu.
type rankCounts struct {
	RankResult
	latency *hdrhistogram.Histogram
}

// request is one request with all its copies.
type request struct {
	kind     Kind
	nonce    string
	key      string
	at       time.Time
	deadline time.Time
	// outcomes are those of the copies answered so far, under Load.mu.
	outcomes []outcome.Outcome
	copies   int
}

// Run sends the load and returns the counts. The error is that of the load
// itself; what the system did wrong is in Result.Violations.
func (l *Load) Run(ctx context.Context) (*Result, error) {
	if err := l.prepare(); err != nil {
		return nil, err
	}
	defer l.client.CloseIdleConnections()
	logs := newRunLogs(l.client, l.RunLogs)
	polling, stop := context.WithCancel(ctx)
	defer stop()
	var background errgroup.Group
	background.Go(func() error { logs.poll(polling); return nil })
	err := l.sendAll(ctx)
	stop()
	_ = background.Wait() // poll returns no error
	if err != nil {
		return nil, err
	}
	l.finish(logs.final(ctx))
	return &l.result, nil
}

func (l *Load) prepare() error {
	if len(l.Daemons) == 0 || len(l.Kinds) == 0 || l.Rate <= 0 || l.Duration <= 0 {
		return errors.New("the load needs daemons, kinds of requests, a rate and a duration")
	}
	l.random = rand.New(rand.NewPCG(l.Seed, 1))
	l.ranks = map[fleet.Rank]*rankCounts{}
	l.sent = map[string]*request{}
	l.client = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 200,
		IdleConnTimeout:     30 * time.Second,
	}}
	return nil
}

// sendAll sends each request at its time.
func (l *Load) sendAll(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	interval := time.Duration(float64(time.Second) / l.Rate)
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := time.Duration(0); at < l.Duration; at += interval {
		timer.Reset(time.Until(start.Add(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			_ = group.Wait() // the requests return no error
			return ctx.Err()
		}
		r := l.next(start.Add(at))
		if !group.TryGo(func() error { l.send(ctx, r, r.at, l.daemon(r, 0)); return nil }) {
			l.result.Dropped++
		}
		if r.copies == 2 {
			again := r.at.Add(time.Duration(l.random.ExpFloat64() * float64(repeatAfter)))
			if !group.TryGo(func() error { l.send(ctx, r, again, l.daemon(r, 1)); return nil }) {
				l.result.Dropped++
			}
		}
	}
	return group.Wait()
}

// next draws a request. Only sendAll calls it, so that the draws depend on the
// seed alone.
func (l *Load) next(at time.Time) *request {
	kind := pick(l.Kinds, l.random.Float64())
	r := &request{kind: kind, nonce: uuid.NewString(), at: at, deadline: at.Add(kind.Timeout.Duration()), copies: 1}
	if kind.Keyed {
		key, err := uuid.NewV7()
		if err != nil {
			key = uuid.New()
		}
		r.key = key.String()
		if l.random.Float64() < l.RepeatShare {
			r.copies = 2
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[r.nonce] = r
	return r
}

// daemon spreads requests over the daemons; the second copy goes to another.
func (l *Load) daemon(r *request, copied int) string {
	var sum int
	for _, c := range []byte(r.nonce) {
		sum += int(c)
	}
	return l.Daemons[(sum+copied)%len(l.Daemons)]
}

func (l *Load) send(ctx context.Context, r *request, at time.Time, daemon string) {
	if wait := time.Until(at); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(grace))
	defer cancel()
	got, violation := l.exchange(ctx, r, daemon)
	done := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r.outcomes = append(r.outcomes, got)
	counts := l.rank(r.kind.Rank)
	counts.Sent++
	if violation != "" {
		l.violate("%s", violation)
	}
	switch got {
	case outcome.NotRun:
		counts.NotRun++
	case outcome.Unknown:
		counts.Unknown++
	case outcome.Run:
		counts.Answered++
		if !done.After(r.deadline) {
			counts.InTime++
		}
		_ = counts.latency.RecordValue(min(done.Sub(at), maxLatency).Microseconds()) // within the range
	}
}

func (l *Load) rank(name fleet.Rank) *rankCounts {
	counts, ok := l.ranks[name]
	if !ok {
		counts = &rankCounts{RankResult: RankResult{Rank: name}, latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		l.ranks[name] = counts
	}
	return counts
}

// exchange sends one copy and classifies the answer: Run means that the whole
// answer of the target arrived.
func (l *Load) exchange(ctx context.Context, r *request, daemon string) (got outcome.Outcome, violation string) {
	path := strings.ReplaceAll(r.kind.Path, "{nonce}", r.nonce)
	body := bytes.NewReader(make([]byte, r.kind.BodyBytes))
	httpRequest, err := http.NewRequestWithContext(ctx, r.kind.Method, daemon+path, body)
	if err != nil {
		return outcome.NotRun, err.Error()
	}
	// The transport must not send anything twice on its own.
	httpRequest.GetBody = nil
	h := httpRequest.Header
	h.Set(headerService, string(r.kind.Service))
	h.Set(headerRank, string(r.kind.Rank))
	h.Set(headerDeadline, r.deadline.UTC().Format(time.RFC3339Nano))
	h.Set(headerNonce, r.nonce)
	if l.Organisation != "" {
		h.Set(headerOrganisation, string(l.Organisation))
	}
	if r.key != "" {
		h.Set(headerKey, r.key)
	}
	response, err := l.client.Do(httpRequest)
	if err != nil {
		return connectionOutcome(err), ""
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	if stated := response.Header.Get(headerOutcome); stated != "" && response.Header.Get(headerNonce) == "" {
		return statedOutcome(stated), ""
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBody)); err != nil {
		return outcome.Unknown, ""
	}
	if nonce := response.Header.Get(headerNonce); nonce != r.nonce {
		return outcome.Run, fmt.Sprintf("the answer to %s %s has status %d and the nonce %q instead of %q", r.kind.Method, path, response.StatusCode, nonce, r.nonce)
	}
	return outcome.Run, ""
}

// connectionOutcome is NotRun when no connection was made, else Unknown.
func connectionOutcome(err error) outcome.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// statedOutcome turns Run without an answer of the target into Unknown: the
// caller has nothing to go on.
func statedOutcome(stated string) outcome.Outcome {
	if o := outcome.Outcome(stated); o == outcome.NotRun {
		return o
	}
	return outcome.Unknown
}
