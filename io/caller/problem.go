package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollenscale/core/outcome"
)

// problem is the body of an error response of a daemon: problem details
// (RFC 9457) with the extension members Outcome and Reason.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Outcome outcome.Outcome `json:"Outcome"`
	Reason  outcome.Reason  `json:"Reason"`
}

// typePrefix is the prefix of all problem type URIs.
const typePrefix = "urn:pollenscale:problem:"

var titleByOutcome = map[outcome.Outcome]string{
	outcome.NotRun:  "The request was not run and can be sent again.",
	outcome.Run:     "The request ran, but its answer was lost.",
	outcome.Unknown: "The request may have run.",
}

var statusByReason = map[outcome.Reason]int{
	outcome.BadRequest:       http.StatusBadRequest,
	outcome.UnknownService:   http.StatusNotFound,
	outcome.NoTarget:         http.StatusServiceUnavailable,
	outcome.DeadlineExceeded: http.StatusGatewayTimeout,
	outcome.CannotFinish:     http.StatusServiceUnavailable,
	outcome.Overloaded:       http.StatusServiceUnavailable,
	outcome.Draining:         http.StatusServiceUnavailable,
	outcome.TooLarge:         http.StatusRequestEntityTooLarge,
	outcome.Poison:           http.StatusUnprocessableEntity,
	outcome.Running:          http.StatusConflict,
	outcome.KeyUnknown:       http.StatusConflict,
	outcome.KeyReused:        http.StatusUnprocessableEntity,
	outcome.StoreDown:        http.StatusServiceUnavailable,
	outcome.TargetFailed:     http.StatusBadGateway,
	outcome.TargetCrashed:    http.StatusBadGateway,
	outcome.ConnectionLost:   http.StatusBadGateway,
	outcome.Cancelled:        http.StatusServiceUnavailable,
	outcome.StaleAttempt:     http.StatusServiceUnavailable,
	outcome.RetryNotAllowed:  http.StatusBadGateway,
}

// writeProblem responds with e as problem details.
func writeProblem(w http.ResponseWriter, e *outcome.Error) error {
	status, ok := statusByReason[e.Reason]
	if !ok {
		status = http.StatusBadGateway
	}
	data, err := json.Marshal(problem{
		Type:    typePrefix + kebabCase(string(e.Reason)),
		Title:   titleByOutcome[e.Outcome],
		Status:  status,
		Detail:  e.Detail,
		Outcome: e.Outcome,
		Reason:  e.Reason,
	})
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(headerOutcome, string(e.Outcome))
	if seconds := retryAfter(e.RetryAt); seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(status)
	_, err = w.Write(data)
	return err
}

// retryAfter returns the seconds until at, rounded up and at least 1, or 0 if at
// is zero.
func retryAfter(at time.Time) int {
	if at.IsZero() {
		return 0
	}
	return max(1, int(math.Ceil(time.Until(at).Seconds())))
}

// kebabCase converts PascalCase to kebab-case.
func kebabCase(name string) string {
	var b strings.Builder
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			if i > 0 {
				b.WriteByte('-')
			}
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	return b.String()
}
