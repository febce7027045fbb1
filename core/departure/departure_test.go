package departure_test

import (
	"slices"
	"testing"

	"pollenscale/core/departure"
	"pollenscale/core/exchange"
	"pollenscale/internal/script"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { script.Main(m) }

func drawSet(t *rapid.T, label string) departure.Set {
	var s departure.Set
	for range rapid.IntRange(0, departure.MaxSize+2).Draw(t, label) {
		id := exchange.TargetID(rapid.StringMatching("[a-e]").Draw(t, "target"))
		s = s.Add(departure.Departure{Target: id, Born: rapid.Int64Range(1, 9).Draw(t, "born")})
	}
	return s
}

// TestJoinDependsOnOrder guards against departures that are forgotten, or sent to and fro
// without end, since daemons learn them in different orders.
func TestJoinDependsOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := drawSet(t, "a"), drawSet(t, "b"), drawSet(t, "c")
		ab := a.Join(b)
		is.True(slices.Equal(ab, b.Join(a)))
		is.True(slices.Equal(ab.Join(c), a.Join(b.Join(c))))
		is.True(slices.Equal(ab.Join(b), ab))
		is.True(ab.Contains(a) && ab.Contains(b))
		is.NoErr(ab.Validate())
		for _, d := range slices.Concat(a, b) {
			is.True(ab.Covers(d.Target, d.Born) || len(ab) == departure.MaxSize)
			is.True(!ab.Covers(d.Target, 10))
		}
	})
}

// TestValidate guards against departures of another writer that no daemon has published.
func TestValidate(t *testing.T) {
	is := is.New(t)
	is.True(departure.Set{{Born: 1}}.Validate() != nil)
	is.True(departure.Set{{Target: "a", Born: -1}}.Validate() != nil)
	is.True(make(departure.Set, departure.MaxSize+1).Validate() != nil)
}
