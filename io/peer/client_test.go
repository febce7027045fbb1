package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/peer/peerpb"
	"pollenscale/io/peer/peerpb/peerpbconnect"

	"connectrpc.com/connect"
	"github.com/matryer/is"
)

// frame is a message that faultyPeer sends.
type frame struct {
	Head, WrongTag, WrongAttempt, End bool
	Reason                            outcome.Reason
	Outcome                           outcome.Outcome
	Body                              string
	BodyBytes                         int64
}

// faultyPeer responds to each attempt with a fixed list of messages.
type faultyPeer struct {
	peerpbconnect.UnimplementedPeerHandler
	frames []frame
}

func (p faultyPeer) Call(_ context.Context, r *connect.Request[peerpb.InvokeRequest], stream *connect.ServerStream[peerpb.InvokeResponse]) error {
	return p.answer(r.Msg, stream.Send)
}

func (p faultyPeer) Invoke(_ context.Context, stream *connect.BidiStream[peerpb.InvokeRequest, peerpb.InvokeResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	return p.answer(first, stream.Send)
}

func (p faultyPeer) answer(first *peerpb.InvokeRequest, send func(*peerpb.InvokeResponse) error) error {
	for _, f := range p.frames {
		m := &peerpb.InvokeResponse{AttemptTag: first.GetAttemptTag(), Body: []byte(f.Body), End: f.End, BodyBytes: f.BodyBytes}
		if f.WrongTag {
			m.AttemptTag++
		}
		if f.Head {
			id := decodeID(first.GetHead().GetAttempt())
			if f.WrongAttempt {
				id.Sequence++
			}
			m.Head = &peerpb.AnswerHead{Attempt: encodeID(id), Outcome: string(f.Outcome), Reason: string(f.Reason), Status: 200, ContentLength: -1}
		}
		if err := send(m); err != nil {
			return err
		}
	}
	return nil
}

// TestFaultyPeer guards against taking the response to another attempt or a
// truncated response for the complete response to this attempt, and against
// reporting a missing response as 'not run'.
func TestFaultyPeer(t *testing.T) {
	data, err := os.ReadFile("testdata/frames.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name        string
		Frames      []frame
		Want        string // body of a complete response
		WantCutOff  bool
		WantOutcome outcome.Outcome // of an error
		WantReason  outcome.Reason
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		for name, body := range map[string]int64{"one message": 10, "several messages": 2 * call.ReplayBytes} {
			t.Run(c.Name+", "+name, func(t *testing.T) {
				is := is.New(t)
				answer, err := sendTo(t, faultyPeer{frames: c.Frames}, body)
				if c.WantOutcome != "" {
					e, ok := err.(*outcome.Error) //nolint:errorlint // Send returns it unwrapped
					is.True(ok)
					is.Equal([]any{e.Outcome, e.Reason}, []any{c.WantOutcome, c.WantReason})
					return
				}
				is.NoErr(err)
				defer answer.Body.Close()
				got, err := io.ReadAll(answer.Body)
				is.Equal(err != nil, c.WantCutOff)
				if !c.WantCutOff {
					is.Equal(string(got), c.Want)
				}
			})
		}
	}
}

func sendTo(t *testing.T, p faultyPeer, bytes int64) (*call.Answer, error) {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerHandler(p))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols()
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient()
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	target := fleet.Target{Daemon: "t", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	ref := attempt.Ref{ID: attempt.ID{Daemon: "e", Incarnation: 1, Sequence: 1}}
	return client.Send(ctx, target, ref, &call.Request{
		Method:        http.MethodPost,
		URI:           "/",
		Deadline:      time.Now().Add(5 * time.Second),
		ContentLength: bytes,
		Body:          call.NewBody(strings.NewReader(strings.Repeat("x", int(bytes))), bytes),
	})
}
