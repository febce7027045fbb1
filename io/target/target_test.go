package target_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/outcome"
	"pollenscale/io/target"

	"github.com/matryer/is"
)

// TestNoRetry guards against the HTTP transport retrying a request that is not
// idempotent when a reused connection is closed.
func TestNoRetry(t *testing.T) {
	data, err := os.ReadFile("testdata/repeat.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name, Method, Key, Body string
		Idempotent              bool
		WantMore                bool // the client may retry
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var seen atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/break" {
					seen.Add(1)
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := target.New(strings.TrimPrefix(server.URL, "http://"))
			defer client.Close()
			request := func(uri string) *call.Request {
				r := &call.Request{Method: c.Method, URI: uri, Deadline: time.Now().Add(time.Second), Idempotent: c.Idempotent, Header: call.Header{}}
				if c.Key != "" {
					r.Header["Idempotency-Key"] = []string{c.Key}
				}
				if c.Body != "" {
					r.Body, r.ContentLength = call.Buffered([]byte(c.Body)), int64(len(c.Body))
				}
				return r
			}
			answer, err := client.Call(context.Background(), request("/"))
			is.NoErr(err)
			_, _, err = answer.Next(make([]byte, 1))
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			_, err = client.Call(context.Background(), request("/break"))
			is.Equal(outcome.Of(err), outcome.Unknown)
			is.Equal(seen.Load() > 1, c.WantMore)
		})
	}
}
