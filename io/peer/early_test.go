package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestEarlyAnswerCutsBody guards against a request body and an answer that are cut off because
// the target has begun to answer before the rest of the body was asked for.
func TestEarlyAnswerCutsBody(t *testing.T) {
	is := is.New(t)
	const early = "early"
	server := &Server{
		Load:   func() fleet.Load { return fleet.Load{} },
		Settle: func(attempt.Ref) attempt.Settlement { return attempt.Settlement{} },
		Invoke: func(_ context.Context, _ attempt.Ref, r *call.Request) (*call.Answer, error) {
			body, err := r.Body.Reader(r.ContentLength)
			if err != nil {
				return nil, err
			}
			return &call.Answer{
				Outcome: outcome.Run, Status: 200, Header: call.Header{}, ContentLength: -1,
				Body: io.NopCloser(io.MultiReader(strings.NewReader(early), body)),
				Load: func() (fleet.Load, bool) { return fleet.Load{}, false },
			}, nil
		},
	}
	server.Init()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		server.Serve(l) // until it is closed
		return nil
	})
	defer func() {
		is.NoErr(server.Close())
		is.NoErr(group.Wait())
	}()
	client := NewClient()
	for _, length := range []int{call.ReplayBytes + 1, 4 * call.ReplayBytes, 100 * call.ReplayBytes} {
		content := bytes.Repeat([]byte("x"), length)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		answer, err := client.Send(ctx, fleet.Target{Daemon: "a", Incarnation: 1, PeerAddress: l.Addr().String()}, attempt.Ref{}, &call.Request{
			Method: "PUT", URI: "/", Header: call.Header{}, Body: call.NewBody(bytes.NewReader(content), int64(length)),
			ContentLength: int64(length), Deadline: time.Now().Add(5 * time.Second),
		})
		is.NoErr(err)
		got, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(len(got), len(early)+length)
		is.NoErr(answer.Body.Close())
		cancel()
	}
}
