package daemon

import (
	"bytes"
	"io"

	"pollenscale/core/call"
	"pollenscale/core/outcome"
)

// bytesAnswer returns an answer with a body from memory.
func bytesAnswer(o outcome.Outcome, status int, header call.Header, body []byte) *call.Answer {
	return &call.Answer{
		Outcome:       o,
		Status:        status,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
}
