package config_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pollenscale/core/config"
)

// TestMain fixes the seed of the random tests, so that their results are
// reproducible. -rapid.seed and -rapid.checks override the defaults.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// BenchmarkChange applies a change of one document to 330 services, the expected
// size of a deployment in two years.
func BenchmarkChange(b *testing.B) {
	docs := deployment(b, "puente")
	for i := range 326 {
		docs = withTimeout(docs, fmt.Sprintf("extra-%d", i), 100, 0)
	}
	h := &config.Holder{}
	first := config.Version{Number: 1, Digest: docs.Digest()}
	if _, err := h.ApplySnapshot(config.Snapshot{Version: first, Documents: docs}); err != nil {
		b.Fatal(err)
	}
	number := uint64(1)
	for b.Loop() {
		number++
		next := withTimeout(docs, "extra-1", int(number), 0)
		change := config.Change{Version: config.Version{Number: number, Digest: next.Digest()}, Documents: docs.Delta(next)}
		if _, err := h.Apply(change); err != nil {
			b.Fatal(err)
		}
		docs = next
	}
}
