// Package peer carries attempts and control messages between daemons, with
// connect over HTTP/2 without TLS.
//
// A request whose body fits into one frame is one message in each direction.
// Larger bodies follow in frames after the receiver has asked to proceed, so
// that a refused request can be sent elsewhere. The last message of an answer
// says so and carries the size of the body; an answer without it is cut off.
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
	// frameBytes is the largest part of a body in one message.
	frameBytes = call.ReplayBytes
	// maxMessageBytes bounds a received message: a frame plus headers.
	maxMessageBytes = 1 << 20
	// pingAfter and pingTimeout bound the time until a silent connection is
	// closed to 1.5 s.
	pingAfter   = time.Second
	pingTimeout = 500 * time.Millisecond
	// dialTimeout bounds connecting to another region.
	dialTimeout = 500 * time.Millisecond
	// firstSettle bounds the first request for a binding answer, on an existing
	// connection, and secondSettle the next one, on a new connection.
	firstSettle  = 400 * time.Millisecond
	secondSettle = time.Second
	// streamWindow bounds what one body buffers in a daemon, and
	// connectionWindow what all request bodies from one connection buffer.
	streamWindow     = 256 << 10
	connectionWindow = 2 << 20
	maxFrameBytes    = 64 << 10
	// maxStreams bounds the attempts that a peer may have open.
	maxStreams = 10000
)

func clientConfig() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize: maxFrameBytes,
		// The receive window of the connection stays at its large default:
		// answers that callers read slowly would use up a small one.
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

// frames holds buffers for frames of bodies.
var frames = sync.Pool{New: func() any {
	b := make([]byte, frameBytes)
	return &b
}}

// tag is the hash of an attempt id that each message of the attempt carries.
func tag(id attempt.ID) uint64 {
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

func packID(id attempt.ID) *peerpb.AttemptID {
	return &peerpb.AttemptID{Daemon: string(id.Daemon), Incarnation: uint64(id.Incarnation), Sequence: uint64(id.Sequence)}
}

func unpackID(id *peerpb.AttemptID) attempt.ID {
	return attempt.ID{
		Daemon:      fleet.DaemonID(id.GetDaemon()),
		Incarnation: fleet.Incarnation(id.GetIncarnation()),
		Sequence:    attempt.Sequence(id.GetSequence()),
	}
}

func packHeader(h call.Header) []*peerpb.Header {
	packed := make([]*peerpb.Header, 0, len(h))
	values := make([]peerpb.Header, len(h))
	for name, v := range h {
		p := &values[len(packed)]
		p.Name, p.Values = name, v
		packed = append(packed, p)
	}
	return packed
}

func unpackHeader(packed []*peerpb.Header) call.Header {
	h := make(call.Header, len(packed)+4)
	for _, p := range packed {
		h[p.GetName()] = p.GetValues()
	}
	return h
}

// packLoad converts a load report; lengths of time are sent in microseconds.
func packLoad(l fleet.Load) *peerpb.Load {
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

func unpackLoad(l *peerpb.Load) fleet.Load {
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

// localTime converts a time of the sender's clock to the own clock. The time
// in transit is not known and lengthens it.
func localTime(at, sentAt *timestamppb.Timestamp, now time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return now.Add(at.AsTime().Sub(sentAt.AsTime()))
}

func packTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func packRef(ref attempt.Ref, sentAt time.Time, r *call.Request) *peerpb.InvokeHead {
	// The time left is taken from the monotonic clock, so that a clock step
	// since the arrival of the request does not change it.
	deadline := sentAt.Add(r.Deadline.Sub(sentAt))
	head := &peerpb.InvokeHead{
		Attempt:           packID(ref.ID),
		TargetIncarnation: uint64(ref.Target),
		OpenFrom:          uint64(ref.OpenFrom),
		SentAt:            timestamppb.New(sentAt),
		Deadline:          timestamppb.New(deadline),
		StartBy:           packTime(r.StartBy),
		Service:           string(r.Service),
		Organisation:      string(r.Organisation),
		Rank:              string(r.Rank),
		Idempotent:        r.Idempotent,
		Fingerprint:       r.Fingerprint,
		Depth:             r.Depth,
		Method:            r.Method,
		Uri:               r.URI,
		Headers:           packHeader(r.Header),
		ContentLength:     r.ContentLength,
		OwnKey:            r.ForwardedToOwner,
		Key:               r.Key,
	}
	if r.FencingToken.Slot != "" {
		head.Fence = &peerpb.Fence{Slot: r.FencingToken.Slot, Token: r.FencingToken.Token}
	}
	return head
}

func unpackRef(head *peerpb.InvokeHead) attempt.Ref {
	return attempt.Ref{
		ID:       unpackID(head.GetAttempt()),
		Target:   fleet.Incarnation(head.GetTargetIncarnation()),
		OpenFrom: attempt.Sequence(head.GetOpenFrom()),
	}
}

func unpackRequest(head *peerpb.InvokeHead, now time.Time) *call.Request {
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
		Path:             pathOf(head.GetUri()),
		URI:              head.GetUri(),
		Header:           unpackHeader(head.GetHeaders()),
		ContentLength:    head.GetContentLength(),
		ForwardedToOwner: head.GetOwnKey(),
	}
}

// pathOf returns uri without its query.
func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// packError converts a failure to the head of an answer.
func packError(id attempt.ID, e *outcome.Error, now time.Time) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Attempt:    packID(id),
		Outcome:    string(e.Outcome),
		Reason:     string(e.Reason),
		Detail:     e.Detail,
		RetryAt:    packTime(e.RetryAt),
		SentAt:     timestamppb.New(now),
		HintDaemon: e.Hint,
	}
}

func unpackError(head *peerpb.AnswerHead, now time.Time) *outcome.Error {
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
