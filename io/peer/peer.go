// Package peer carries attempts and control messages between daemons, with
// Connect RPC over HTTP/2 without TLS.
//
// A request whose body fits into one frame is a single message. The rest of a
// larger body follows in frames once the receiver has asked to proceed, so that a
// rejected request can still be sent elsewhere. The last message of a response is
// marked and carries the size of the body; a response without it is truncated.
package peer

import (
	"net/http"
	"sync"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/peer/peerpb"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	// frameBytes is the largest body fragment in one message.
	frameBytes = call.ReplayBytes
	// maxMessageBytes limits a received message, which is a frame plus headers.
	maxMessageBytes = 1 << 20
	// pingAfter and pingTimeout close a dead connection after 1.5 s.
	pingAfter   = time.Second
	pingTimeout = 500 * time.Millisecond
	// dialTimeout limits connecting, which includes daemons in other regions.
	dialTimeout = 500 * time.Millisecond
	// settleTimeout limits the first settle request, on an existing connection, and
	// settleRetryTimeout the second one, on a new connection.
	settleTimeout      = 400 * time.Millisecond
	settleRetryTimeout = time.Second
	// streamWindow limits the buffered data of one body in a daemon, and
	// connectionWindow that of all request bodies of one connection.
	streamWindow     = 256 << 10
	connectionWindow = 2 << 20
	maxFrameBytes    = 64 << 10
	// maxStreams limits the concurrent attempts of a peer on one connection.
	maxStreams = 10000
)

func clientConfig() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize: maxFrameBytes,
		// The receive window of the connection keeps its large default: responses
		// that callers read slowly would exhaust a small one.
		MaxReceiveBufferPerStream: streamWindow,
		SendPingTimeout:           pingAfter,
		PingTimeout:               pingTimeout,
		WriteByteTimeout:          pingAfter + pingTimeout,
	}
}

func serverConfig() *http.HTTP2Config {
	c := clientConfig()
	c.MaxConcurrentStreams = maxStreams
	c.MaxReceiveBufferPerConnection = connectionWindow
	return c
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// frameBuffers is a pool of buffers for body frames.
var frameBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameBytes)
	return &b
}}

// hashAttemptID returns the hash of an attempt id that each message of the attempt
// carries as its tag.
func hashAttemptID(id attempt.ID) uint64 {
	var b [128]byte
	p := append(b[:0], id.Daemon...)
	p = append(p, 0)
	p = appendUint(p, uint64(id.Incarnation))
	p = appendUint(p, uint64(id.Sequence))
	return xxhash.Sum64(p)
}

func appendUint(p []byte, n uint64) []byte {
	for range 8 {
		p = append(p, byte(n))
		n >>= 8
	}
	return p
}

func encodeID(id attempt.ID) *peerpb.AttemptID {
	return &peerpb.AttemptID{Daemon: string(id.Daemon), Incarnation: uint64(id.Incarnation), Sequence: uint64(id.Sequence)}
}

func decodeID(id *peerpb.AttemptID) attempt.ID {
	return attempt.ID{
		Daemon:      fleet.DaemonID(id.GetDaemon()),
		Incarnation: fleet.Incarnation(id.GetIncarnation()),
		Sequence:    attempt.Sequence(id.GetSequence()),
	}
}

func encodeHeader(h call.Header) []*peerpb.Header {
	packed := make([]*peerpb.Header, 0, len(h))
	values := make([]peerpb.Header, len(h))
	for name, v := range h {
		p := &values[len(packed)]
		p.Name, p.Values = name, v
		packed = append(packed, p)
	}
	return packed
}

func decodeHeader(packed []*peerpb.Header) call.Header {
	h := make(call.Header, len(packed)+4)
	for _, p := range packed {
		h[p.GetName()] = p.GetValues()
	}
	return h
}

// encodeLoad encodes a load report. Durations are sent in microseconds.
func encodeLoad(l fleet.Load) *peerpb.Load {
	return &peerpb.Load{
		Daemon:       string(l.Daemon),
		Incarnation:  uint64(l.Incarnation),
		Sequence:     l.Sequence,
		State:        string(l.State),
		Slots:        uint32(l.Slots),
		Running:      l.Running,
		Queued:       l.Queued,
		WaitLowUs:    uint64(l.WaitLow.Microseconds()),
		WaitUrgentUs: uint64(l.WaitUrgent.Microseconds()),
		ServiceUs:    uint64(l.Service.Microseconds()),
	}
}

func decodeLoad(l *peerpb.Load) fleet.Load {
	return fleet.Load{
		Daemon:      fleet.DaemonID(l.GetDaemon()),
		Incarnation: fleet.Incarnation(l.GetIncarnation()),
		Sequence:    l.GetSequence(),
		State:       fleet.State(l.GetState()),
		Slots:       fleet.Slots(l.GetSlots()),
		Running:     l.GetRunning(),
		Queued:      l.GetQueued(),
		WaitLow:     time.Duration(l.GetWaitLowUs()) * time.Microsecond,
		WaitUrgent:  time.Duration(l.GetWaitUrgentUs()) * time.Microsecond,
		Service:     time.Duration(l.GetServiceUs()) * time.Microsecond,
	}
}

// localTime converts a time of the sender's clock to the local clock. The result
// is late by the transit time, which is unknown.
func localTime(at, sentAt *timestamppb.Timestamp, now time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return now.Add(at.AsTime().Sub(sentAt.AsTime()))
}

func encodeTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func encodeRequest(ref attempt.Ref, sentAt time.Time, r *call.Request) *peerpb.InvokeHead {
	// The remaining time is computed with the monotonic clock, so that a clock step
	// since the request arrived does not change it.
	deadline := sentAt.Add(r.Deadline.Sub(sentAt))
	head := &peerpb.InvokeHead{
		Attempt:           encodeID(ref.ID),
		TargetIncarnation: uint64(ref.Target),
		OpenFrom:          uint64(ref.OpenFrom),
		SentAt:            timestamppb.New(sentAt),
		Deadline:          timestamppb.New(deadline),
		StartBy:           encodeTime(r.StartBy),
		Service:           string(r.Service),
		Organisation:      string(r.Organisation),
		Rank:              string(r.Rank),
		Idempotent:        r.Idempotent,
		Fingerprint:       r.Fingerprint,
		Depth:             r.Depth,
		Method:            r.Method,
		Uri:               r.URI,
		Headers:           encodeHeader(r.Header),
		ContentLength:     r.ContentLength,
		OwnKey:            r.ForwardedToOwner,
		Key:               r.Key,
	}
	if r.FencingToken.Slot != "" {
		head.Fence = &peerpb.Fence{Slot: r.FencingToken.Slot, Token: r.FencingToken.Token}
	}
	return head
}

func decodeRef(head *peerpb.InvokeHead) attempt.Ref {
	return attempt.Ref{
		ID:       decodeID(head.GetAttempt()),
		Target:   fleet.Incarnation(head.GetTargetIncarnation()),
		OpenFrom: attempt.Sequence(head.GetOpenFrom()),
	}
}

func decodeRequest(head *peerpb.InvokeHead, now time.Time) *call.Request {
	return &call.Request{
		Service:          fleet.Service(head.GetService()),
		Organisation:     fleet.Organisation(head.GetOrganisation()),
		Rank:             fleet.Rank(head.GetRank()),
		Deadline:         localTime(head.GetDeadline(), head.GetSentAt(), now),
		StartBy:          localTime(head.GetStartBy(), head.GetSentAt(), now),
		Idempotent:       head.GetIdempotent(),
		Key:              head.GetKey(),
		FencingToken:     call.FencingToken{Slot: head.GetFence().GetSlot(), Token: head.GetFence().GetToken()},
		Fingerprint:      head.GetFingerprint(),
		Depth:            head.GetDepth(),
		Method:           head.GetMethod(),
		Path:             trimQuery(head.GetUri()),
		URI:              head.GetUri(),
		Header:           decodeHeader(head.GetHeaders()),
		ContentLength:    head.GetContentLength(),
		ForwardedToOwner: head.GetOwnKey(),
	}
}

// trimQuery removes the query from uri.
func trimQuery(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// encodeError encodes an error as the head of a response.
func encodeError(id attempt.ID, e *outcome.Error, now time.Time) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Attempt:    encodeID(id),
		Outcome:    string(e.Outcome),
		Reason:     string(e.Reason),
		Detail:     e.Detail,
		RetryAt:    encodeTime(e.RetryAt),
		SentAt:     timestamppb.New(now),
		HintDaemon: e.Hint,
	}
}

func decodeError(head *peerpb.AnswerHead, now time.Time) *outcome.Error {
	o := outcome.Outcome(head.GetOutcome())
	if !o.Valid() {
		o = outcome.Unknown
	}
	return &outcome.Error{
		Outcome: o,
		Reason:  outcome.Reason(head.GetReason()),
		Detail:  head.GetDetail(),
		RetryAt: localTime(head.GetRetryAt(), head.GetSentAt(), now),
		Hint:    head.GetHintDaemon(),
	}
}
