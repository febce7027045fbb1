package spread_test

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/spread"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errDown = errors.New("down")

// invalid is the version that fails validation.
const invalid = 13

// configStub is a fake owner of the configuration.
type configStub struct {
	head      spread.Head
	announced []spread.Version
}

func (h *configStub) apply(_ context.Context, u spread.Update) error {
	if u.Head().Version == invalid {
		return errors.New("validation failed")
	}
	h.head = u.Head()
	return nil
}

func update(v spread.Version) spread.Update {
	return spread.Update{Snapshot: &spread.Change{Version: v, Digest: "d"}}
}

// TestSources guards against the failures named in testdata/sources.json: versions
// that are not fetched, that revert, or that are announced although validation
// refused them.
func TestSources(t *testing.T) {
	data, err := os.ReadFile("testdata/sources.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name    string
		Current spread.Version
		Heard   []struct {
			Peer           string
			Version        spread.Version
			AtMilliseconds int
		}
		Peers map[string]spread.Version
		// Members are the peers that are known without an announcement.
		Members []string
		Store   int
		Want    spread.Version
		Fetches []string
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &configStub{head: spread.Head{Version: c.Current, Digest: "d"}}
				fetches := []string{}
				var mu sync.Mutex
				s := &spread.Spreader{
					Current: func() spread.Head { return h.head },
					Apply:   h.apply,
					Fetch: func(_ context.Context, peer string, _ spread.Version) (spread.Update, error) {
						mu.Lock()
						defer mu.Unlock()
						fetches = append(fetches, peer)
						if v, ok := c.Peers[peer]; ok {
							return update(v), nil
						}
						return spread.Update{}, errDown
					},
					Announce:   func(head spread.Head) { h.announced = append(h.announced, head.Version) },
					SameRegion: func(peer string) bool { return peer != "far" },
					Members:    func() int { return 10 },
					Joined:     func() bool { return true },
				}
				if c.Members != nil {
					s.Peers = func(n int) []string { return c.Members[:min(n, len(c.Members))] }
				}
				if c.Store != 0 {
					s.ReadStore = func(context.Context, spread.Version) (spread.Update, error) {
						if c.Store < 0 {
							return spread.Update{}, errDown
						}
						return update(spread.Version(c.Store)), nil
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				for _, heard := range c.Heard {
					announce := func() { s.HandleAnnouncement(heard.Peer, spread.Head{Version: heard.Version, Digest: "d"}) }
					if heard.AtMilliseconds == 0 {
						announce()
						continue
					}
					time.AfterFunc(time.Duration(heard.AtMilliseconds)*time.Millisecond, announce)
				}
				is.True(errors.Is(s.Run(ctx), context.DeadlineExceeded))
				is.Equal(h.head.Version, c.Want)
				if c.Members != nil {
					slices.Sort(fetches) // peers without an announcement are asked concurrently
				}
				is.Equal(fetches, c.Fetches)
				for _, v := range h.announced {
					is.True(v != invalid) // a refused version is never announced
				}
			})
		})
	}
}
