package caller

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/google/uuid"
)

// Header fields of requests and responses between callers and the daemon.
const (
	headerService      = "Pollenscale-Service"
	headerOrganisation = "Pollenscale-Organisation"
	headerRank         = "Pollenscale-Rank"
	headerDeadline     = "Pollenscale-Deadline"
	headerDeferred     = "Pollenscale-Deferred"
	headerDepth        = "Pollenscale-Depth"
	headerOutcome      = "Pollenscale-Outcome"
	headerKey          = "Idempotency-Key"
	headerTrace        = "Traceparent"
)

// maxKeyBytes is the largest length of an idempotency key.
const maxKeyBytes = 255

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// parse converts a caller's HTTP request. An error is an *outcome.Error.
func parse(request *http.Request, now time.Time) (*call.Request, error) {
	if request.ProtoMajor == 1 && request.ProtoMinor == 0 {
		// In HTTP/1.0 a truncated response of unknown length looks complete.
		return nil, invalidField("protocol", request.Proto, "HTTP/1.1 or HTTP/2")
	}
	h := request.Header
	r := &call.Request{
		Service:       fleet.Service(h.Get(headerService)),
		Organisation:  fleet.Organisation(h.Get(headerOrganisation)),
		Rank:          fleet.Rank(h.Get(headerRank)),
		Key:           h.Get(headerKey),
		Method:        request.Method,
		Path:          request.URL.Path,
		URI:           request.URL.RequestURI(),
		ContentLength: request.ContentLength,
	}
	if r.Service == "" {
		return nil, invalidField(headerService, "", "the name of a service")
	}
	if len(r.Key) > maxKeyBytes {
		return nil, invalidField(headerKey, r.Key[:32]+"...", "at most 255 bytes")
	}
	if err := parseDeadline(r, h.Get(headerDeadline), now); err != nil {
		return nil, err
	}
	if err := parseDeferred(r, h.Get(headerDeferred)); err != nil {
		return nil, err
	}
	if err := parseDepth(r, h.Get(headerDepth)); err != nil {
		return nil, err
	}
	r.Header = forwardedHeader(request)
	return r, nil
}

func parseDeadline(r *call.Request, value string, now time.Time) error {
	if value == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return invalidField(headerDeadline, value, "a time as in RFC 3339, such as 2026-01-31T12:00:00.250Z")
	}
	// Derived from now, the deadline has a monotonic clock reading and is not
	// affected by clock steps.
	r.Deadline = now.Add(at.Sub(now))
	return nil
}

func parseDeferred(r *call.Request, value string) error {
	switch value {
	case "", "false":
		return nil
	case "true":
		r.Deferred = true
		return nil
	}
	return invalidField(headerDeferred, value, "true or false")
}

// parseDepth sets the number of nested calls. Targets copy the header to the
// calls that they make.
func parseDepth(r *call.Request, value string) error {
	if value == "" {
		return nil
	}
	n, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return invalidField(headerDepth, value, "a whole number")
	}
	r.Depth = uint32(n) + 1
	return nil
}

// forwardedHeader returns the header fields to forward to the target. It modifies
// the header of the request.
func forwardedHeader(request *http.Request) call.Header {
	h := call.Header(request.Header)
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if hopByHop(name) {
			delete(h, name)
		}
	}
	delete(h, headerDeferred)
	delete(h, "Expect")
	h["Host"] = []string{request.Host}
	if h.Get(headerTrace) == "" {
		h[headerTrace] = []string{newTraceparent()}
	}
	return h
}

// newTraceparent returns a traceparent header for a new trace that is not sampled.
func newTraceparent() string {
	trace, span := uuid.New(), uuid.New()
	const hex = "0123456789abcdef"
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	for _, c := range trace {
		b = append(b, hex[c>>4], hex[c&15])
	}
	b = append(b, '-')
	for _, c := range span[:8] {
		b = append(b, hex[c>>4], hex[c&15])
	}
	return string(append(b, "-00"...))
}

// hopByHop reports whether a header field applies to a single connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

func invalidField(field, value, allowed string) error {
	return outcome.New(outcome.NotRun, outcome.BadRequest, field+": "+strconv.Quote(value)+" is not allowed; expected "+allowed)
}
