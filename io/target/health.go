package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"pollenscale/core/fleet"

	"github.com/cockroachdb/errors"
)

const (
	// healthTimeout bounds one read of the health endpoint.
	healthTimeout = 800 * time.Millisecond
	// maxHealthBytes bounds the report.
	maxHealthBytes = 64 << 10
)

// Health is what the target reports about itself as JSON.
type Health struct {
	State fleet.State
	// Instance tells successive processes of the target apart; may be empty.
	Instance string
	Slots    fleet.Slots
	Running  uint32
}

// Health reads the health endpoint at path.
func (c *Client) Health(ctx context.Context, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return Health{}, errors.Wrap(err, "health")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Health{}, errors.Wrap(err, "health")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
		return Health{}, errors.Wrap(err, "health")
	}
	if response.StatusCode != http.StatusOK {
		return Health{}, errors.Newf("health: status %d", response.StatusCode)
	}
	var h Health
	if err := json.Unmarshal(data, &h); err != nil {
		return Health{}, errors.Wrap(err, "health")
	}
	if !h.State.Valid() {
		return Health{}, errors.Newf("health: unknown state %q", h.State)
	}
	return h, nil
}
