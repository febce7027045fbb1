package operator_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"pollenscale/io/operator"

	"github.com/matryer/is"
)

// TestEndpoints guards against endpoints that report a daemon as healthy or ready
// although it is not, and against missing status fields or metrics.
func TestEndpoints(t *testing.T) {
	data, err := os.ReadFile("testdata/endpoints.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name, Path, Unhealthy, WantBody string
		NotReady                        []string
		WantStatus                      int
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			e := operator.Endpoints{
				Ready: func() []string { return c.NotReady },
				Status: func() operator.Status {
					return operator.Status{ConfigVersion: 7, Members: []operator.Member{{Health: "Suspect"}}}
				},
				Healthy: func() error {
					if c.Unhealthy == "" {
						return nil
					}
					return errors.New(c.Unhealthy)
				},
			}
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.Path, nil))
			is.Equal(w.Code, c.WantStatus)
			is.True(strings.Contains(w.Body.String(), c.WantBody))
		})
	}
}
