package limit_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/limit"

	"github.com/matryer/is"
)

// TestScripts guards against a cold target that gets all its slots at once, a limit
// above the announced slots, a limit that does not fall when an unannounced target
// slows down, and a target that fails fast and keeps its slots.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name  string
		Slots fleet.Slots
		Warm  bool
		Steps []struct {
			Requests int
			TookMs   int
			Fail     bool
			Cool     bool
			// Least and Most bound the limit after the step.
			Least, Most int
		}
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			l := limit.New(c.Slots)
			if c.Warm {
				l = limit.NewWarm(c.Slots)
			}
			for i, s := range c.Steps {
				if s.Cool {
					l.ResetCold()
				}
				for range s.Requests {
					l.Observe(time.Duration(s.TookMs)*time.Millisecond, l.Value(), !s.Fail)
				}
				if v := l.Value(); v < s.Least || v > s.Most {
					t.Fatalf("step %d: limit %d, want %d to %d", i, v, s.Least, s.Most)
				}
			}
		})
	}
}
