package strictjson_test

import (
	"encoding/json"
	"os"
	"testing"

	"pollenscale/internal/strictjson"

	"github.com/matryer/is"
)

type sample struct {
	Name   string `validate:"name"`
	Count  int    `validate:"min=1"`
	Items  []item `validate:"dive"`
	Labels map[string]string
}

type item struct {
	Share float64 `validate:"min=0,max=1"`
}

// TestUnmarshal guards against invalid input that is accepted, or that is
// reported without its position.
func TestUnmarshal(t *testing.T) {
	data, err := os.ReadFile("testdata/unmarshal.json")
	is.New(t).NoErr(err)
	var cases []struct{ Name, Input, Want string }
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if _, err := strictjson.Unmarshal("f.json", []byte(c.Input), &sample{}); err != nil {
				got = err.Error()
			}
			is.Equal(got, c.Want)
		})
	}
}
