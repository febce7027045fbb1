package soak

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"pollenscale/platform/rowstore"

	"github.com/matryer/is"
)

// TestAttemptSentTwice guards against a client that sends an attempt again when its connection is lost.
func TestAttemptSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		is := is.New(t)
		var arrived atomic.Int64
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if arrived.Add(1) > 1 {
				rowstore.HangUp(w)
			}
		}))
		defer daemon.Close()
		client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		e := entry{idempotent: method == http.MethodGet, target: "/read"}
		answer, err := client.Do(newAttempt(t.Context(), daemon.Listener.Addr().String(), method, "1", e))
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		answer, err = client.Do(newAttempt(t.Context(), daemon.Listener.Addr().String(), method, "2", e))
		if err == nil {
			is.NoErr(answer.Body.Close())
		}
		is.True(err != nil)
		is.Equal(arrived.Load(), int64(2))
	}
}
