package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/probe"

	"github.com/matryer/is"
)

// TestProbeBudget guards against load caused by probing. However many probes other daemons
// send, a target's daemon answers no more than a small share of the number of requests
// that the target serves.
func TestProbeBudget(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda")
	const probes, requests = 2000, 100
	start := time.Now()
	for n := range requests {
		is.Equal(f.send(t.Context(), 0, http.MethodPost, fmt.Sprint("served", n)).status, http.StatusOK)
	}
	answered := 0
	for range probes {
		if _, err := f.nodes[0].Peer.Probe(t.Context(), f.nodes[1].Self.PeerAddress, "agenda"); err == nil {
			answered++
		}
	}
	allowed := requests*float64(probe.DefaultShare) + probe.FloorPerSecond*time.Since(start).Seconds() + 1
	t.Logf("%d of %d probes answered", answered, probes)
	is.True(answered > 0)
	is.True(float64(answered) <= allowed)
}
