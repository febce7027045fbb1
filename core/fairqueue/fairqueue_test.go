package fairqueue

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// step is an operation on a queue; one of the first three fields names the flow.
type step struct {
	Acquire, TryAcquire, Release string
	At                           float64 // seconds
	From                         string
	Urgent                       bool
	Reserved                     int
	Refused                      bool
	// Waits is set if the request waits after the step. Full and Granted name the flow whose
	// waiting request ends with the step.
	Waits         bool
	Full, Granted string
}

// player plays the steps of a case.
type player struct {
	queue   *Queue
	now     time.Time
	flows   map[string]*Flow
	waiters map[string]*waiter
}

// TestCases guards against the failures named in testdata/cases.json.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name, Guards string
		Places       int
		Waiting      int // Places by default
		Steps        []step
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Now()
			p := &player{flows: map[string]*Flow{}, waiters: map[string]*waiter{}}
			p.queue = New(c.Places, WithMaxWaiting(cmp.Or(c.Waiting, c.Places)), WithClock(func() time.Time { return p.now }))
			for i, s := range c.Steps {
				p.now = start.Add(time.Duration(s.At * float64(time.Second)))
				if !p.play(s) {
					t.Fatalf("step %d; guards against %s", i, c.Guards)
				}
			}
		})
	}
}

// play plays a step and reports whether its result is the expected one.
func (p *player) play(s step) bool {
	switch {
	case s.Release != "":
		p.queue.Release(p.flows[s.Release])
	case s.TryAcquire != "":
		return p.queue.TryAcquire(p.flow(s.TryAcquire, s.From), s.Reserved) != s.Refused
	default:
		w := p.queue.enqueue(p.flow(s.Acquire, s.From), s.Urgent)
		if w != nil {
			p.waiters[s.Acquire] = w
		}
		if s.Waits != (w != nil) && s.Full == "" {
			return false
		}
	}
	return p.ended(s.Full, ErrFull) && p.ended(s.Granted, nil) && p.noneEnded()
}

func (p *player) flow(name, from string) *Flow {
	if p.flows[name] == nil {
		p.flows[name] = p.queue.Open(netip.MustParseAddr(from))
	}
	return p.flows[name]
}

// ended reports whether the waiting request of a flow has ended with the error.
func (p *player) ended(name string, want error) bool {
	if name == "" {
		return true
	}
	w := p.waiters[name]
	delete(p.waiters, name)
	select {
	case err := <-w.result:
		return errors.Is(err, want)
	default:
		return false
	}
}

// noneEnded reports whether all other requests still wait.
func (p *player) noneEnded() bool {
	for _, w := range p.waiters {
		if len(w.result) > 0 {
			return false
		}
	}
	return true
}

// places is the number of places of TestConcurrent.
const places = 3

// use occupies a place for a moment if there is one in time.
func use(q *Queue, f *Flow, urgent bool, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if q.Acquire(ctx, f, urgent) != nil {
		return nil
	}
	defer q.Release(f)
	if q.InUse() > places {
		return errors.New("too many places granted")
	}
	time.Sleep(50 * time.Microsecond)
	return nil
}

// TestConcurrent guards against places that are lost or granted twice when requests end while
// they wait.
func TestConcurrent(t *testing.T) {
	is := is.New(t)
	const clients, requests = 40, 50
	q := New(places)
	var group errgroup.Group
	for i := range clients {
		group.Go(func() error {
			f := q.Open(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 4)}))
			defer f.Close()
			for n := range requests {
				if err := use(q, f, i%9 == 0, time.Duration(n%7)*100*time.Microsecond); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.Equal(q.InUse(), 0)
	is.Equal(len(q.waiting), 0)
	is.Equal(len(q.addresses), 0)
}
