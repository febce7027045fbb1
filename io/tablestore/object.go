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

// errStalled is the cancellation cause of a transfer without progress.
var errStalled = errors.New("no progress in the object transfer")

// put uploads an object as a stream, so that the object is never held in memory as
// a whole. It fails when ctx ends or when the body makes no progress. A blocked
// Read of the body may outlive put, so the caller closes the body after an error.
func (c *Client) put(ctx context.Context, id string, body io.Reader) (int64, error) {
	release, err := c.admitObject(ctx, "put", http.MethodPut)
	if err != nil {
		return 0, err
	}
	defer release()
	ctx, stall := c.watchStall(ctx)
	defer stall.stop()
	sent := &countingReader{Reader: body, stall: stall}
	response, err := c.open(ctx, "put", http.MethodPut, c.objectURL(id), interruptible(ctx, sent))
	if err != nil {
		return 0, withStallCause(ctx, err)
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	var out PutResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, markUnavailable(errors.Wrap(err, "decode put response"))
	}
	if n := sent.count(); out.Size != n {
		return 0, markUnavailable(errors.Newf("object store stored %d of %d bytes", out.Size, n))
	}
	return out.Size, nil
}

// interruptible returns a reader that fails when ctx ends, also while a Read of
// body blocks. Otherwise Transport.RoundTrip would wait for the body beyond the
// end of ctx.
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

// get opens an object. It is not retried. Read of a truncated body returns an
// error, never an early io.EOF.
func (c *Client) get(ctx context.Context, id string) (io.ReadCloser, error) {
	release, err := c.admitObject(ctx, "get", http.MethodGet)
	if err != nil {
		return nil, err
	}
	ctx, stall := c.watchStall(ctx)
	response, err := c.open(ctx, "get", http.MethodGet, c.objectURL(id), http.NoBody) //nolint:bodyclose // objectBody closes it
	if err != nil {
		err = withStallCause(ctx, err)
		stall.stop()
		release()
		return nil, err
	}
	return &objectBody{
		countingReader: countingReader{Reader: response.Body, stall: stall},
		body:           response.Body,
		release:        sync.OnceFunc(func() { stall.stop(); release() }),
	}, nil
}

type objectBody struct {
	countingReader
	body    io.Closer
	release func()
}

// Read returns store.ErrUnavailable if the body is truncated.
func (b *objectBody) Read(p []byte) (int, error) {
	n, err := b.countingReader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(errors.Wrap(err, "object truncated"), store.ErrUnavailable)
	}
	return n, err
}

// Close closes the body and releases the connection.
func (b *objectBody) Close() error {
	defer b.release()
	return b.body.Close()
}

// admitObject waits for the budget no longer than other calls do, even if the
// transfer itself has no deadline.
func (c *Client) admitObject(ctx context.Context, name, method string) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.admit(ctx, name, method)
}

// watchStall returns a context that is cancelled when the transfer makes no
// progress.
func (c *Client) watchStall(ctx context.Context) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallTimer{limit: c.stallTimeout, cancel: cancel}
	w.timer = time.AfterFunc(w.limit, func() { cancel(errStalled) })
	return ctx, w
}

type stallTimer struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func (w *stallTimer) progress() { w.timer.Reset(w.limit) }

func (w *stallTimer) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// countingReader counts the bytes read and reports progress to a stallTimer.
type countingReader struct {
	io.Reader
	stall *stallTimer
	mu    sync.Mutex
	n     int64
}

// Read reads from the wrapped reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.stall.progress()
	}
	r.mu.Lock()
	r.n += int64(n)
	r.mu.Unlock()
	return n, err
}

func (r *countingReader) count() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// withStallCause adds errStalled to err if that is the cancellation cause of ctx.
func withStallCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return errors.Mark(errors.Wrap(cause, err.Error()), store.ErrUnavailable)
	}
	return err
}
