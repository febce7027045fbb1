package measure

import (
	"container/heap"
	"time"
)

// loop is an event loop in virtual time. Events due at the same time run in the
// order in which they were scheduled, which makes runs deterministic.
type loop struct {
	now       time.Time
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newLoop() *loop {
	return &loop{now: time.Unix(0, 0)}
}

// clock returns the virtual time, for the Now fields of the measured packages.
func (l *loop) clock() time.Time { return l.now }

// elapsed returns the virtual time since the start of the run.
func (l *loop) elapsed() time.Duration { return l.now.Sub(time.Unix(0, 0)) }

// after schedules an event after a delay.
func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

func (l *loop) at(t time.Time, run func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: t, sequence: l.scheduled, run: run})
}

// every schedules a periodic event, the first after one period.
func (l *loop) every(d time.Duration, run func()) {
	l.after(d, func() {
		run()
		l.every(d, run)
	})
}

// run executes all events due up to the given time since the start of the run.
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
		return h[i].sequence < h[j].sequence
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
