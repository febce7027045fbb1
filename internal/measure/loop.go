package measure

import (
	"container/heap"
	"time"
)

// loop is an event loop in virtual time. Events at the same time run in the
// order in which they were scheduled, so that a run depends on its seed alone.
type loop struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

func newLoop() *loop {
	return &loop{now: time.Unix(0, 0)}
}

// clock is the Now function of the packages under measurement.
func (l *loop) clock() time.Time { return l.now }

// elapsed is the virtual time since the start of the run.
func (l *loop) elapsed() time.Duration { return l.now.Sub(time.Unix(0, 0)) }

// after schedules an event.
func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

func (l *loop) at(t time.Time, run func()) {
	l.count++
	heap.Push(&l.events, event{at: t, order: l.count, run: run})
}

// every schedules an event with a fixed period, first after one period.
func (l *loop) every(d time.Duration, run func()) {
	l.after(d, func() {
		run()
		l.every(d, run)
	})
}

// run executes the events up to the given virtual time.
func (l *loop) run(until time.Duration) {
	end := time.Unix(0, 0).Add(until)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
