package localtarget_test

import (
	"strconv"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/internal/script"
)

// TestState guards against a target that gets requests after its drain or departure
// was acknowledged, and against late heartbeats of earlier incarnations.
func TestState(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(t *testing.T, play func(map[string]script.Command)) {
		t.Helper()
		var s localtarget.State
		number := func(text string) int64 {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		at := func(text string) time.Time { return time.UnixMilli(number(text)) }
		heartbeat := func(a []string, draining bool) string {
			return string(s.ApplyHeartbeat(localtarget.Heartbeat{
				ID: exchange.TargetID(a[0]), Born: number(a[2]), Sequence: number(a[4]),
				Service: "agenda", Slots: 4, Draining: draining,
			}, at(a[6])))
		}
		play(map[string]script.Command{
			"heartbeat": func(a []string) string { return heartbeat(a, false) },
			"drain":     func(a []string) string { return heartbeat(a, true) },
			"leave": func(a []string) string {
				return string(s.Leave(exchange.TargetID(a[0]), number(a[1]), at(a[3])))
			},
			"restore": func(a []string) string {
				v := localtarget.View{ID: exchange.TargetID(a[0]), Born: number(a[2]), State: fleet.State(a[3]), Slots: 4}
				if v.State == fleet.Draining {
					v.DrainedAt = time.UnixMilli(1)
				}
				result := s.Recall(localtarget.Memory{View: v}, time.UnixMilli(1))
				return strconv.FormatBool(result == localtarget.Replaced)
			},
			"state": func([]string) string {
				if state := s.View().State; state != "" {
					return string(state)
				}
				return `""`
			},
			"target": func([]string) string { return string(s.View().ID) },
			"inuse":  func(a []string) string { return strconv.FormatBool(s.InUse(exchange.TargetID(a[0]))) },
			"await": func([]string) string {
				s.AwaitMemory()
				return ""
			},
			"known": func(a []string) string { return string(s.MemoryKnown(at(a[1]))) },
			"departed": func(a []string) string {
				return strconv.FormatBool(s.Departures().Covers(exchange.TargetID(a[0]), number(a[1])))
			},
		})
	})
}
