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
	// healthTimeout limits one request to the health endpoint.
	healthTimeout = 800 * time.Millisecond
	// maxHealthBytes limits the size of the health report.
	maxHealthBytes = 64 << 10
)

// Health is the JSON health report of the target.
type Health struct {
	State fleet.State
	// Instance identifies the process of the target, so that a restart can be
	// detected. It may be empty.
	Instance string
	Slots    fleet.Slots
	Running  uint32
}

// Health requests the health report at path.
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
		return Health{}, errors.Newf("health: unexpected status %d", response.StatusCode)
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
