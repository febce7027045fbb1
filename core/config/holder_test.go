package config_test

import (
	"testing"

	"pollenscale/core/config"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestHolder guards against a daemon that reverts to an older version, applies an
// invalid version, or propagates an invalid version to its peers.
func TestHolder(t *testing.T) {
	var cases []struct {
		Name  string
		Steps []struct {
			Change, Snapshot, Announce uint64
			Corrupt, Other, Invalid    bool
			WantError                  string
		}
		WantVersion uint64
		// WantKept are the changes in the update for a peer that lacks WantKept[0].
		// If it is empty, the update must be a snapshot.
		WantKept []uint64
	}
	load(t, "holder.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			h := &config.Holder{}
			for _, step := range c.Steps {
				h.Announce(step.Announce)
				number := max(step.Change, step.Snapshot)
				if number == 0 {
					continue
				}
				docs := version(t, number)
				switch {
				case step.Other:
					docs = version(t, number+100)
				case step.Invalid:
					docs = docs.With(config.Documents{"services/agenda.json": []byte("{}")})
				}
				next := config.Snapshot{Version: config.Version{Number: number, Digest: docs.Digest()}, Documents: docs}
				if step.Corrupt {
					next.Documents = version(t, number+1)
				}
				var err error
				if step.Change > 0 {
					_, err = h.Apply(config.Change{Version: next.Version, Documents: version(t, number-1).Delta(next.Documents)})
				} else {
					_, err = h.ApplySnapshot(next)
				}
				is.Equal(errors.Is(err, config.ErrGap), step.WantError == "Gap")
				is.Equal(errors.Is(err, config.ErrRefused), step.WantError == "Refused")
			}
			is.Equal(h.Version().Number, c.WantVersion)
			if c.WantVersion == 0 {
				is.True(h.Current() == nil)
				return
			}
			is.Equal(h.Current().Version, c.WantVersion)
			after := c.WantVersion - 1
			if len(c.WantKept) > 0 {
				after = c.WantKept[0] - 1
			}
			update := h.UpdateFrom(after)
			is.Equal(update.Snapshot != nil, len(c.WantKept) == 0)
			for i, want := range c.WantKept {
				is.Equal(update.Changes[i].Number, want)
			}
			is.True(h.UpdateFrom(c.WantVersion).Empty())
		})
	}
}

// version returns the documents of a version; version 0 has none.
func version(t *testing.T, number uint64) config.Documents {
	if number == 0 {
		return config.Documents{}
	}
	return withTimeout(deployment(t, "puente"), "agenda", int(number), 0)
}
