package policy_test

import (
	"encoding/json"
	"os"
	"testing"

	"pollenscale/core/policy"

	"github.com/matryer/is"
)

// TestRoute guards against a request that is treated as idempotent because it
// matched a route for a different method or path.
func TestRoute(t *testing.T) {
	data, err := os.ReadFile("testdata/routes.json")
	is.New(t).NoErr(err)
	var cases []struct{ Name, Method, Path, WantPrefix string }
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	service := &policy.Service{Routes: []policy.Route{
		{Method: "POST", PathPrefix: "/bookings"},
		{Method: "GET", PathPrefix: "/", Idempotent: true},
	}}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			got := service.Route(c.Method, c.Path)
			is.Equal(got.PathPrefix, c.WantPrefix)
			is.Equal(got.Idempotent, c.WantPrefix == "/")
		})
	}
}
