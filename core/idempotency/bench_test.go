package idempotency_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"pollenscale/core/idempotency"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/standin/memstore"

	"github.com/google/uuid"
)

// BenchmarkStamped measures Begin and Finish of a stamped key in a full table,
// and reports the memory per key with a response of 100 bytes.
func BenchmarkStamped(b *testing.B) {
	ctx := context.Background()
	holder := lease.New(memstore.New().Tables(), "a", 1, lease.WithVacant(func() []lease.Name { return []lease.Name{slot} }))
	if err := holder.Acquire(ctx); err != nil {
		b.Fatal(err)
	}
	table := idempotency.New(slot, holder.Grant)
	run := func() {
		id, err := uuid.NewV7()
		if err != nil {
			b.Fatal(err)
		}
		key := idempotency.Key{Organisation: "puente", Value: id.String()}
		claim, _, err := table.Begin(ctx, policy.KeyStamped, key, 1)
		if err == nil {
			claim.Finish(outcome.Run, &idempotency.Response{Status: 200, Body: make([]byte, 100)})
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for table.Len() < table.MaxKeys {
		run()
		if table.Len()%1000 == 0 {
			time.Sleep(time.Millisecond) // so that the stamps differ
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for range b.N {
		run()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.MaxKeys), "B/key")
}
