package daemon

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/policy"

	"github.com/matryer/is"
)

type linkCase struct {
	Name                                            string
	From, To                                        fleet.Region
	Bytes                                           int64
	BytesPerSecond                                  fleet.Bytes
	WantAtLeastMilliseconds, WantAtMostMilliseconds policy.Milliseconds
}

// TestLinks guards against uploads that exceed the bandwidth budget between two regions.
func TestLinks(t *testing.T) {
	var cases []linkCase
	loadJSON(t, "links.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c linkCase) run(t *testing.T) {
	is := is.New(t)
	set := &policy.Set{Services: map[fleet.Service]*policy.Service{"agenda": {LinkBytesPerSecond: c.BytesPerSecond}}}
	l := newLinks(c.From, func() *policy.Set { return set }, func() int { return 1 })
	r := &call.Request{Service: "agenda", ContentLength: c.Bytes, Body: call.NewBody(zeros(c.Bytes), c.Bytes)}
	l.paceBody(t.Context(), fleet.Target{Place: fleet.Place{Region: c.To}}, r)
	start := time.Now()
	body, err := r.Body.Reader(c.Bytes)
	is.NoErr(err)
	n, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{body}, make([]byte, call.ReplayBytes))
	is.NoErr(err)
	is.Equal(n, c.Bytes)
	took := time.Since(start)
	is.True(took >= c.WantAtLeastMilliseconds.Duration())
	is.True(took <= c.WantAtMostMilliseconds.Duration())
}
