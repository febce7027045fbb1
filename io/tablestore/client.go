// Package tablestore is the client of the platform's table service and object
// store. It implements store.Tables and store.Objects.
//
// The table service uses JSON, the object store plain PUT, GET and DELETE:
//
//	POST   /tables/transact                         sends store.Transaction, returns store.Result
//	GET    /tables/TABLE/row?key=                   returns ReadResponse
//	GET    /tables/TABLE/rows?prefix=&after=&limit= returns ListResponse
//	PUT    /objects/ID                              sends the object, returns PutResponse
//	GET    /objects/ID                              returns the object
//	DELETE /objects/ID
//
// Reads and deletes are retried until their deadline with jittered exponential
// backoff, within a budget of requests per second that shrinks while the platform
// fails. Transactions and puts are not retried: after an error their outcome is
// unknown, and only the caller can determine it.
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
	// defaultTimeout limits a call without an earlier deadline.
	defaultTimeout = 5 * time.Second
	// defaultAttemptTimeout limits one attempt of a call that is retried, so that
	// an unanswered request leaves time for another one.
	defaultAttemptTimeout = 1500 * time.Millisecond
	// defaultStallTimeout limits the time without progress in an object transfer.
	defaultStallTimeout = 10 * time.Second
	firstBackoff        = 25 * time.Millisecond
	maxBackoff          = time.Second
	// maxResponseBytes limits a response of the table service. A list of 256
	// configuration changes of 32 KB each takes 11 MB in base64.
	maxResponseBytes = 16 << 20
	// maxInFlight limits the concurrent requests of one daemon.
	maxInFlight = 32
)

// Default request budget of one daemon. If 210 daemons restart at once, they make
// at most 420 reads in the first second, of the 500 that the platform can serve.
// The code that creates a daemon knows its role and the size of the fleet and sets
// the budget accordingly.
const (
	defaultReadsPerSecond  = 2
	defaultWritesPerSecond = 2
	defaultBurst           = 2
)

// ErrBudget means that the call was not sent because it would exceed the daemon's
// request budget.
var ErrBudget = errors.New("request budget exhausted")

// ReadResponse is the response to a read.
type ReadResponse struct {
	Row store.Row
	At  time.Time
}

// ListResponse is the response to a list.
type ListResponse struct {
	Rows []store.Row
}

// PutResponse is the response to a put.
type PutResponse struct {
	Size int64
}

// Client is a client of one platform, created with New. It is safe for concurrent
// use.
type Client struct {
	tables         string
	objects        string
	http           *http.Client
	reads          *adaptiveLimiter
	writes         *adaptiveLimiter
	inFlight       chan struct{}
	timeout        time.Duration
	attemptTimeout time.Duration
	stallTimeout   time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithBudget limits the requests per second, with bursts of up to burst requests.
// Retries count. Calls wait for the budget until their deadline.
func WithBudget(reads, writes float64, burst int) Option {
	return func(c *Client) { c.SetBudget(reads, writes, burst) }
}

// WithTimeouts sets the limits of a call without an earlier deadline, of one
// attempt of a call that is retried, and of the time without progress in an object
// transfer.
func WithTimeouts(call, attempt, stall time.Duration) Option {
	return func(c *Client) {
		c.timeout, c.attemptTimeout, c.stallTimeout = call, attempt, stall
	}
}

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) { c.http = client }
}

// New returns a client of the table service and the object store at the given
// base URLs, such as http://10.0.0.5:7000.
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
		reads: newAdaptiveLimiter(), writes: newAdaptiveLimiter(),
		inFlight: make(chan struct{}, maxInFlight),
		timeout:  defaultTimeout, attemptTimeout: defaultAttemptTimeout, stallTimeout: defaultStallTimeout,
	}
	c.SetBudget(defaultReadsPerSecond, defaultWritesPerSecond, defaultBurst)
	for _, o := range options {
		o(c)
	}
	return c
}

// SetBudget changes the budget, for example when the fleet grows.
func (c *Client) SetBudget(reads, writes float64, burst int) {
	c.reads.set(rate.Limit(reads), burst)
	c.writes.set(rate.Limit(writes), burst)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Tables returns the operations of the table service.
func (c *Client) Tables() store.Tables {
	return store.Tables{Transact: c.transact, Read: c.read, List: c.list}
}

// Objects returns the operations of the object store.
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
	address := c.tables + "/tables/" + url.PathEscape(string(table)) + "/row?" + url.Values{"key": {key}}.Encode()
	err := c.retry(ctx, call{name: "read", method: http.MethodGet, url: address, out: &out})
	return out.Row, out.At, err
}

func (c *Client) list(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
	var out ListResponse
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	address := c.tables + "/tables/" + url.PathEscape(string(table)) + "/rows?" + query.Encode()
	err := c.retry(ctx, call{name: "list", method: http.MethodGet, url: address, out: &out})
	return out.Rows, err
}

func (c *Client) delete(ctx context.Context, id string) error {
	return c.retry(ctx, call{name: "delete", method: http.MethodDelete, url: c.objectURL(id)})
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
	// out receives the decoded response, unless nil.
	out any
}

// retry sends the call until it succeeds, fails with an error that a retry cannot
// cure, or reaches its deadline.
func (c *Client) retry(ctx context.Context, request call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := c.send(ctx, c.attemptTimeout, request)
		if last != nil && errors.Is(err, ErrBudget) {
			return last // more specific than the exhausted budget that followed it
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

// send makes one attempt of the call. The timeout starts when the budget admits
// the request.
func (c *Client) send(ctx context.Context, timeout time.Duration, request call) error {
	release, err := c.admit(ctx, request.name, request.method)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.open(ctx, request.name, request.method, request.url, bytes.NewReader(request.body))
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // closing a response body after reading loses nothing
	if request.out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return markUnavailable(err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return markUnavailable(err)
	}
	if len(data) > maxResponseBytes {
		return errors.Newf("%s: response exceeds 16 MB", request.name)
	}
	return errors.Wrapf(json.Unmarshal(data, request.out), "%s: decode response", request.name)
}

// open sends an admitted request and checks the status of the response.
func (c *Client) open(ctx context.Context, name, method, address string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	response, err := c.http.Do(request)
	metrics.GetOrCreateHistogram(`pollenscale_platform_seconds{call="` + name + `"}`).UpdateDuration(start)
	if err == nil {
		err = checkStatus(response)
	}
	c.limiterFor(method).observe(ctx, err)
	if err != nil {
		countRequest(name, "failed")
		return nil, markUnavailable(err)
	}
	countRequest(name, "ok")
	return response, nil
}

func (c *Client) limiterFor(method string) *adaptiveLimiter {
	if method == http.MethodGet {
		return c.reads
	}
	return c.writes
}

// admit waits for the budget until the deadline. The caller must call release
// after reading the response.
func (c *Client) admit(ctx context.Context, name, method string) (release func(), err error) {
	if err := c.limiterFor(method).limiter.Wait(ctx); err != nil {
		countRequest(name, "budget")
		return nil, errors.Mark(errors.Wrap(ErrBudget, err.Error()), store.ErrUnavailable)
	}
	select {
	case c.inFlight <- struct{}{}:
		return func() { <-c.inFlight }, nil
	case <-ctx.Done():
		countRequest(name, "budget")
		return nil, errors.Mark(errors.Wrap(ErrBudget, "too many requests in flight"), store.ErrUnavailable)
	}
}

// checkStatus returns an error and closes the response if its status is not a
// success.
func checkStatus(response *http.Response) error {
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	defer response.Body.Close() //nolint:errcheck // closing a response body after reading loses nothing
	text, err := io.ReadAll(io.LimitReader(response.Body, 512))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusNotFound {
		return store.ErrNotFound
	}
	failed := errors.Newf("unexpected status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	if response.StatusCode == http.StatusBadRequest {
		return &rejectedError{failed}
	}
	return failed
}

// rejectedError is the error of a request that the platform rejects as invalid. It
// indicates a bug in this program, so a retry is of no use.
type rejectedError struct{ error }

// markUnavailable marks an error as store.ErrUnavailable, unless the platform has
// answered that the object is missing or the request is invalid.
func markUnavailable(err error) error {
	var rejected *rejectedError
	if err == nil || errors.Is(err, store.ErrNotFound) || errors.As(err, &rejected) {
		return err
	}
	return errors.Mark(errors.Wrap(err, "platform"), store.ErrUnavailable)
}

func countRequest(name, result string) {
	metrics.GetOrCreateCounter(`pollenscale_platform_requests_total{call="` + name + `",result="` + result + `"}`).Inc()
}
