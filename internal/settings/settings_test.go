package settings_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"pollenscale/internal/settings"

	"github.com/matryer/is"
)

// TestParse guards against settings that are accepted although a field is
// unknown, missing or invalid, and against errors that do not name the field,
// its value and the allowed values. Each case replaces a part of valid settings.
func TestParse(t *testing.T) {
	valid, err := os.ReadFile("testdata/valid.json")
	is.New(t).NoErr(err)
	data, err := os.ReadFile("testdata/cases.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name, Replace, With string
		Want                []string
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.Replace == "" || strings.Count(string(valid), c.Replace) == 1)
			_, err := settings.Parse([]byte(strings.Replace(string(valid), c.Replace, c.With, 1)))
			if c.Want == nil {
				is.NoErr(err)
				return
			}
			is.True(err != nil) // the settings must be rejected
			for _, part := range c.Want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q does not contain %q", err, part)
				}
			}
		})
	}
}

// TestSamples guards against sample settings in deploy that the daemon rejects.
func TestSamples(t *testing.T) {
	for _, deployment := range []string{"puente", "merrimack"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Read("../../deploy/" + deployment + "/settings.json")
			is.NoErr(err)
			is.True(s.PlatformAddress != "")
		})
	}
}
