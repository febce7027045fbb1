package serve

import (
	"context"
	"sync/atomic"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Slots admits as many requests as the target has slots, and lets the others
// wait in no particular order. It is the default for Server.Acquire.
type Slots struct {
	free   chan struct{}
	size   fleet.Slots
	queued atomic.Int32
}

// NewSlots returns Slots for a target of the given size.
func NewSlots(size fleet.Slots) *Slots {
	return &Slots{free: make(chan struct{}, size), size: size}
}

// Acquire waits for a free slot.
func (s *Slots) Acquire(ctx context.Context, _ *call.Request) (func(Ended), error) {
	select {
	case s.free <- struct{}{}:
		return s.release, nil
	default:
	}
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case s.free <- struct{}{}:
		return s.release, nil
	case <-ctx.Done():
		return nil, refused(ctx)
	}
}

// Load adds the occupation of the slots to l.
func (s *Slots) Load(l fleet.Load) fleet.Load {
	l.Slots = s.size
	l.Running = uint32(len(s.free))
	l.Queued = uint32(s.queued.Load())
	return l
}

func (s *Slots) release(Ended) {
	<-s.free
}

func refused(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // the cause is set by context itself
		return outcome.New(outcome.NotRun, outcome.DeadlineExceed, "the deadline passed in the queue")
	}
	return outcome.New(outcome.NotRun, outcome.Cancelled, "the request was cancelled in the queue")
}
