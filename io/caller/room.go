package caller

import (
	"net/http"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
)

// requestCost returns the memory for a request: its head, and for a body its window, the part that
// is kept for further attempts and the buffer through which the rest is copied.
func requestCost(r *http.Request) fleet.Bytes {
	cost := budget.RequestCost(r.Header)
	if r.ContentLength == 0 {
		return cost
	}
	size := func(limit int64) fleet.Bytes {
		if r.ContentLength < 0 {
			return fleet.Bytes(limit)
		}
		return fleet.Bytes(min(limit, r.ContentLength))
	}
	return cost + size(streamWindow) + size(call.ReplayBytes) + size(copyBufferBytes)
}

// endBody makes reads of a body fail.
func (s *Server) endBody(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Unix(1, 0)); err != nil {
		s.Log.Debug("cannot set the read deadline.", "error", err)
	}
}

// endResponseAt makes writes of the response fail from a time on, so that a client that stops
// reading occupies nothing after it. net/http removes the limit after the request.
func (s *Server) endResponseAt(w http.ResponseWriter, at time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(at); err != nil {
		s.Log.Debug("cannot set the write deadline.", "error", err)
	}
}
