package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 5 * time.Second
	maxRunLog    = 256 << 20
)

// Run is one entry of a target's run log: a request that the target ran.
type Run struct {
	Nonce  string
	Key    string
	Method string
	Path   string
	Status int
}

// runLogs collects the run logs. They are read during the load as well, since a
// target that restarts begins a new one.
type runLogs struct {
	client *http.Client
	urls   []string
	// past are the logs of earlier processes, last the latest by URL.
	past []Run
	last map[string][]Run
}

func newRunLogs(client *http.Client, urls []string) *runLogs {
	return &runLogs{client: client, urls: urls, last: map[string][]Run{}}
}

// poll reads the logs until the context ends. Errors are passed over, since
// targets may restart meanwhile.
func (l *runLogs) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, url := range l.urls {
			if runs, err := l.read(ctx, url); err == nil {
				l.keep(url, runs)
			}
		}
	}
}

// keep replaces the log of a URL. One that does not continue the last is that
// of a new process.
func (l *runLogs) keep(url string, runs []Run) {
	last := l.last[url]
	if len(runs) < len(last) || !slices.Equal(runs[:len(last)], last) {
		l.past = append(l.past, last...)
	}
	l.last[url] = runs
}

// final reads the logs a last time and returns all runs, and the logs that
// could not be read.
func (l *runLogs) final(ctx context.Context) (runs []Run, unread []error) {
	for _, url := range l.urls {
		got, err := l.read(ctx, url)
		if err != nil {
			unread = append(unread, errors.Wrapf(err, "run log %s", url))
			continue
		}
		l.keep(url, got)
	}
	runs = slices.Clone(l.past)
	for _, url := range l.urls {
		runs = append(runs, l.last[url]...)
	}
	return runs, unread
}

func (l *runLogs) read(ctx context.Context, url string) ([]Run, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // a read-only body
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", response.StatusCode)
	}
	var runs []Run
	return runs, json.NewDecoder(io.LimitReader(response.Body, maxRunLog)).Decode(&runs)
}
