package tablestore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollenscale/core/store"
)

// errStalled is the cause of a cancelled transfer that made no progress.
var errStalled = errors.New("no progress of the object's body")

// put streams an object. It ends with the context's deadline or when the body
// makes no progress; the body is never held in memory as a whole. A Read of the
// body that blocks may outlast put, so that the caller closes the body after an
// error.
func (c *Client) put(ctx context.Context, id string, body io.Reader) (int64, error) {
	release, err := c.admitObject(ctx, "put", http.MethodPut)
	if err != nil {
		return 0, err
	}
	defer release()
	ctx, watch := c.watch(ctx)
	defer watch.stop()
	sent := &watchedReader{Reader: body, watch: watch}
	response, err := c.open(ctx, "put", http.MethodPut, c.objectURL(id), interruptible(ctx, sent))
	if err != nil {
		return 0, withCause(ctx, err)
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	var out PutResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, unavailable(errors.Wrap(err, "decode the answer to a put"))
	}
	if n := sent.count(); out.Size != n {
		return 0, unavailable(errors.Newf("the object store kept %d of %d bytes", out.Size, n))
	}
	return out.Size, nil
}

// interruptible returns a reader that fails when the context ends, also while a
// Read of body blocks. Transport.RoundTrip waits for the body, and would
// otherwise outlast the context.
func interruptible(ctx context.Context, body io.Reader) io.ReadCloser {
	in, out := io.Pipe()
	context.AfterFunc(ctx, func() { _ = in.CloseWithError(context.Cause(ctx)) })
	var copying errgroup.Group
	copying.Go(func() error {
		_, err := io.Copy(out, body)
		return out.CloseWithError(err)
	})
	return in
}

// get opens an object. It is not repeated. A body that breaks off returns an
// error from Read, never an early end.
func (c *Client) get(ctx context.Context, id string) (io.ReadCloser, error) {
	release, err := c.admitObject(ctx, "get", http.MethodGet)
	if err != nil {
		return nil, err
	}
	ctx, watch := c.watch(ctx)
	response, err := c.open(ctx, "get", http.MethodGet, c.objectURL(id), http.NoBody) //nolint:bodyclose // objectBody closes it
	if err != nil {
		err = withCause(ctx, err)
		watch.stop()
		release()
		return nil, err
	}
	return &objectBody{
		watchedReader: watchedReader{Reader: response.Body, watch: watch},
		body:          response.Body,
		release:       sync.OnceFunc(func() { watch.stop(); release() }),
	}, nil
}

type objectBody struct {
	watchedReader
	body    io.Closer
	release func()
}

// Read returns store.ErrUnavailable when the body breaks off.
func (b *objectBody) Read(p []byte) (int, error) {
	n, err := b.watchedReader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(errors.Wrap(err, "object broke off"), store.ErrUnavailable)
	}
	return n, err
}

// Close gives the connection back.
func (b *objectBody) Close() error {
	defer b.release()
	return b.body.Close()
}

// admitObject waits for the budget no longer than other calls do, also when the
// transfer itself has no deadline.
func (c *Client) admitObject(ctx context.Context, name, method string) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.admit(ctx, name, method)
}

// watch cancels the context when the transfer makes no progress.
func (c *Client) watch(ctx context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{limit: c.stallTimeout, cancel: cancel}
	w.timer = time.AfterFunc(w.limit, func() { cancel(errStalled) })
	return ctx, w
}

type watchdog struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func (w *watchdog) progress() { w.timer.Reset(w.limit) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// watchedReader counts the bytes read and reports progress.
type watchedReader struct {
	io.Reader
	watch *watchdog
	mu    sync.Mutex
	n     int64
}

// Read reads from the wrapped reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.progress()
	}
	r.mu.Lock()
	r.n += int64(n)
	r.mu.Unlock()
	return n, err
}

func (r *watchedReader) count() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// withCause names a stall as the reason for which the context was cancelled.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return errors.Mark(errors.Wrap(cause, err.Error()), store.ErrUnavailable)
	}
	return err
}
