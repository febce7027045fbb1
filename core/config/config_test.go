package config_test

import (
	"encoding/json"
	"os"
	"testing"

	"pollenscale/core/config"
	"pollenscale/core/fleet"
	"pollenscale/core/policy"

	"github.com/matryer/is"
)

const deployDir = "../../deploy/"

func load(t *testing.T, name string, out any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, out))
}

func deployment(t testing.TB, name string) config.Documents {
	t.Helper()
	docs, err := config.ReadDir(os.DirFS(deployDir + name + "/config"))
	if err != nil {
		t.Fatal(err)
	}
	return docs
}

// TestMistakes guards against invalid declarations that are accepted, or that are
// reported without the file, the position and the allowed values.
func TestMistakes(t *testing.T) {
	var cases []struct {
		Name  string
		Files map[string]string
		Want  string
	}
	load(t, "mistakes.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			delta := config.Documents{}
			for name, body := range c.Files {
				delta[name] = []byte(body)
			}
			got := ""
			if _, err := config.Render(1, deployment(t, "puente").With(delta)); err != nil {
				got = err.Error()
			}
			is.Equal(got, c.Want)
		})
	}
}

// TestDeployments guards against sample configurations in deploy/ that do not meet
// the needs of the two deployments: which requests may be repeated, and what share
// each organisation keeps under overload.
func TestDeployments(t *testing.T) {
	var cases []struct {
		Deployment, Service, Method, Path string
		Idempotent, Deferrable            bool
		KeyRule                           policy.KeyRule
		Rank                              fleet.Rank
		TimeoutMilliseconds               policy.Milliseconds
		Shares                            map[fleet.Organisation]float64
	}
	load(t, "deployments.json", &cases)
	for _, c := range cases {
		t.Run(c.Deployment+" "+c.Service+" "+c.Method+" "+c.Path, func(t *testing.T) {
			is := is.New(t)
			set, err := config.Render(1, deployment(t, c.Deployment))
			is.NoErr(err)
			is.Equal(len(set.Services), 4)
			service := set.Service(fleet.Service(c.Service))
			route := service.Route(c.Method, c.Path)
			is.Equal(route.Idempotent, c.Idempotent)
			is.Equal(route.Deferrable, c.Deferrable)
			is.Equal(route.KeyRule, c.KeyRule)
			name := route.Rank
			if name == "" {
				name = service.DefaultRank
			}
			rank, _, ok := service.Rank(name)
			is.True(ok)
			is.Equal(rank.Name, c.Rank)
			is.Equal(rank.Timeout, c.TimeoutMilliseconds)
			is.Equal(service.Organisations, c.Shares)
		})
	}
}
