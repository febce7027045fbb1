// Package tablestore is the client of the platform's table service and object
// store. It fills store.Tables and store.Objects.
//
// The table service is spoken to in JSON, the object store with plain PUT, GET
// and DELETE:
//
//	POST   /tables/transact                         store.Transaction, answers store.Result
//	GET    /tables/TABLE/row?key=                   answers ReadResponse
//	GET    /tables/TABLE/rows?prefix=&after=&limit= answers ListResponse
//	PUT    /objects/ID                              the body, answers PutResponse
//	GET    /objects/ID
//	DELETE /objects/ID
//
// Reads and deletes are repeated with jittered back-off until their deadline,
// within a budget of requests per second that shrinks while the platform fails.
// Transactions and puts are sent once: after an error their outcome is open,
// and only the caller can settle it.
package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"pollenscale/core/store"
	"pollenscale/core/wait"
)

const (
	// defaultTimeout bounds a call without an earlier deadline.
	defaultTimeout = 5 * time.Second
	// defaultAttemptTimeout bounds one attempt of a read, so that a request
	// that went silent leaves time for another.
	defaultAttemptTimeout = 1500 * time.Millisecond
	// defaultStallTimeout bounds the time without progress of an object's body.
	defaultStallTimeout = 10 * time.Second
	firstBackoff        = 25 * time.Millisecond
	maxBackoff          = time.Second
	// maxResponseBytes bounds an answer of the table service. A list of 256
	// configuration changes of 32 KB each takes 11 MB in base64.
	maxResponseBytes = 16 << 20
	// maxInFlight bounds the requests of one daemon at the platform.
	maxInFlight = 32
)

// The default budget of one daemon. 210 daemons that restart at once then make
// at most 420 reads in the first second of the 500 that the platform serves.
// Whoever assembles a daemon knows its role and the size of the fleet, and sets
// its budget accordingly.
const (
	defaultReadsPerSecond  = 2
	defaultWritesPerSecond = 2
	defaultBurst           = 2
)

// ErrBudget means that the call would exceed the daemon's request budget. It
// was not sent.
var ErrBudget = errors.New("request budget exhausted")

// ReadResponse is the answer to a read.
type ReadResponse struct {
	Row store.Row
	At  time.Time
}

// ListResponse is the answer to a list.
type ListResponse struct {
	Rows []store.Row
}

// PutResponse is the answer to a put.
type PutResponse struct {
	Size int64
}

// Client talks to one platform. Use New. Its methods may be used concurrently.
type Client struct {
	tables         string
	objects        string
	http           *http.Client
	reads          *pace
	writes         *pace
	inFlight       chan struct{}
	timeout        time.Duration
	attemptTimeout time.Duration
	stallTimeout   time.Duration
}

// Option changes a client under construction.
type Option func(*Client)

// WithBudget bounds the requests per second, with bursts of up to burst.
// Repeated attempts count. Calls wait for the budget until their deadline.
func WithBudget(reads, writes float64, burst int) Option {
	return func(c *Client) { c.SetBudget(reads, writes, burst) }
}

// WithTimeouts sets the bounds of a call without an earlier deadline, of one
// attempt of a read, and of the time without progress of an object's body.
func WithTimeouts(call, attempt, stall time.Duration) Option {
	return func(c *Client) {
		c.timeout, c.attemptTimeout, c.stallTimeout = call, attempt, stall
	}
}

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) { c.http = client }
}

// New returns a client for the table service and the object store at the given
// URLs, such as http://10.0.0.5:7000.
func New(tables, objects string, options ...Option) *Client {
	c := &Client{
		tables: strings.TrimSuffix(tables, "/"), objects: strings.TrimSuffix(objects, "/"),
		http: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost:   4,
			MaxConnsPerHost:       maxInFlight,
			IdleConnTimeout:       time.Minute,
			ResponseHeaderTimeout: defaultStallTimeout,
		}},
		reads: newPace(), writes: newPace(),
		inFlight: make(chan struct{}, maxInFlight),
		timeout:  defaultTimeout, attemptTimeout: defaultAttemptTimeout, stallTimeout: defaultStallTimeout,
	}
	c.SetBudget(defaultReadsPerSecond, defaultWritesPerSecond, defaultBurst)
	for _, o := range options {
		o(c)
	}
	return c
}

// SetBudget changes the budget, for example as the fleet grows.
func (c *Client) SetBudget(reads, writes float64, burst int) {
	c.reads.set(rate.Limit(reads), burst)
	c.writes.set(rate.Limit(writes), burst)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Tables returns the table service.
func (c *Client) Tables() store.Tables {
	return store.Tables{Transact: c.transact, Read: c.read, List: c.list}
}

// Objects returns the object store.
func (c *Client) Objects() store.Objects {
	return store.Objects{Put: c.put, Get: c.get, Delete: c.delete}
}

func (c *Client) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	var result store.Result
	body, err := json.Marshal(t)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return result, c.send(ctx, c.timeout, call{name: "transact", method: http.MethodPost, url: c.tables + "/tables/transact", body: body, out: &result})
}

func (c *Client) read(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
	var out ReadResponse
	at := c.tables + "/tables/" + url.PathEscape(string(table)) + "/row?" + url.Values{"key": {key}}.Encode()
	err := c.repeat(ctx, call{name: "read", method: http.MethodGet, url: at, out: &out})
	return out.Row, out.At, err
}

func (c *Client) list(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
	var out ListResponse
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	at := c.tables + "/tables/" + url.PathEscape(string(table)) + "/rows?" + query.Encode()
	err := c.repeat(ctx, call{name: "list", method: http.MethodGet, url: at, out: &out})
	return out.Rows, err
}

func (c *Client) delete(ctx context.Context, id string) error {
	return c.repeat(ctx, call{name: "delete", method: http.MethodDelete, url: c.objectURL(id)})
}

func (c *Client) objectURL(id string) string {
	return c.objects + "/objects/" + url.PathEscape(id)
}

// call is a request with a small body.
type call struct {
	name   string
	method string
	url    string
	body   []byte
	// out receives the decoded answer, if set.
	out any
}

// repeat sends the call until it is answered or the deadline passes.
func (c *Client) repeat(ctx context.Context, one call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := c.send(ctx, c.attemptTimeout, one)
		if last != nil && errors.Is(err, ErrBudget) {
			return last // says more than the lack of budget that followed it
		}
		last = err
		if err == nil || errors.Is(err, ErrBudget) || errors.Is(err, store.ErrNotFound) || !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		if !wait.For(ctx, rand.N(2*backoff)) {
			return err
		}
	}
}

// send makes one attempt of the call, of at most the given length from when the
// budget allows it.
func (c *Client) send(ctx context.Context, length time.Duration, one call) error {
	release, err := c.admit(ctx, one.name, one.method)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	response, err := c.open(ctx, one.name, one.method, one.url, bytes.NewReader(one.body))
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	if one.out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return unavailable(err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return unavailable(err)
	}
	if len(data) > maxResponseBytes {
		return errors.Newf("%s: the answer is larger than 16 MB", one.name)
	}
	return errors.Wrapf(json.Unmarshal(data, one.out), "%s: decode the answer", one.name)
}

// open sends an admitted request and checks the status.
func (c *Client) open(ctx context.Context, name, method, at string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, at, body)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	response, err := c.http.Do(request)
	metrics.GetOrCreateHistogram(`pollenscale_platform_seconds{call="` + name + `"}`).UpdateDuration(start)
	if err == nil {
		err = status(response)
	}
	c.pace(method).report(ctx, err)
	if err != nil {
		count(name, "failed")
		return nil, unavailable(err)
	}
	count(name, "ok")
	return response, nil
}

func (c *Client) pace(method string) *pace {
	if method == http.MethodGet {
		return c.reads
	}
	return c.writes
}

// admit waits for the budget until the deadline. The caller calls release when
// it has read the answer.
func (c *Client) admit(ctx context.Context, name, method string) (release func(), err error) {
	if err := c.pace(method).limiter.Wait(ctx); err != nil {
		count(name, "budget")
		return nil, errors.Mark(errors.Wrap(ErrBudget, err.Error()), store.ErrUnavailable)
	}
	select {
	case c.inFlight <- struct{}{}:
		return func() { <-c.inFlight }, nil
	case <-ctx.Done():
		count(name, "budget")
		return nil, errors.Mark(errors.Wrap(ErrBudget, "too many requests in flight"), store.ErrUnavailable)
	}
}

// status returns an error for an answer that is no success, and closes it.
func status(response *http.Response) error {
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	text, err := io.ReadAll(io.LimitReader(response.Body, 512))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusNotFound {
		return store.ErrNotFound
	}
	failed := errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	if response.StatusCode == http.StatusBadRequest {
		return &rejectedError{failed}
	}
	return failed
}

// rejectedError is a request that the platform calls wrong: a fault of this
// program, which no repetition cures.
type rejectedError struct{ error }

// unavailable marks an error as store.ErrUnavailable, unless it is an answer.
func unavailable(err error) error {
	var rejected *rejectedError
	if err == nil || errors.Is(err, store.ErrNotFound) || errors.As(err, &rejected) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnavailable)
}

func count(name, result string) {
	metrics.GetOrCreateCounter(`pollenscale_platform_requests_total{call="` + name + `",result="` + result + `"}`).Inc()
}
