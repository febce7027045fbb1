package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/member"

	"github.com/matryer/is"
)

// TestRequestBeforeJoin guards against an entry that has just restarted and refuses
// requests, since it does not know the targets until another daemon has answered it.
func TestRequestBeforeJoin(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	entry := f.nodes[0]
	entry.prepare = func(n *node) {
		n.Settings.Seeds = n.members.joiner.Seeds // a daemon without seeds does not wait for them
		n.members.joiner.Call = func(ctx context.Context, address string, r member.Request) (member.Reply, error) {
			time.Sleep(500 * time.Millisecond)
			return n.members.requestExchange(ctx, address, r)
		}
	}
	f.restart(t, entry, false)
	s, err := f.post(t.Context(), 0, http.MethodPost, "/x", "first", nil)
	is.NoErr(err)
	is.Equal(s.status, http.StatusOK) // answered once the entry knows the targets
}
