package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/fleet"
	standin "pollenscale/standin/target"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// proxy is a TCP proxy that can stop forwarding on the open connections.
type proxy struct {
	net.Listener
	backend string
	mu      sync.Mutex
	// silent has one flag for each connection. While it is set, data is dropped.
	silent []*atomic.Bool
}

func newProxy(t *testing.T, backend string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{Listener: l, backend: backend}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			p.forward(&group, c)
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *proxy) forward(group *errgroup.Group, c net.Conn) {
	d, err := net.Dial("tcp", p.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	silent := new(atomic.Bool)
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{c, d}, {d, c}} {
		group.Go(func() error {
			buf := make([]byte, 64<<10)
			for {
				n, err := pair[0].Read(buf)
				if err != nil && !silent.Load() {
					_ = pair[1].Close()
				}
				if err != nil {
					return err
				}
				if !silent.Load() {
					_, _ = pair[1].Write(buf[:n])
				}
			}
		})
	}
}

// blackhole makes all open connections drop their data without closing them. New
// connections work.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
}

// sendResult is the result of a request as its caller sees it.
type sendResult struct {
	status  int
	outcome string
	took    time.Duration
	err     error
	// closeRequested is set when the entry asks the caller to close its connection.
	closeRequested bool
}

func (f *testFleet) send(ctx context.Context, entry int, method, id string, header ...string) sendResult {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[entry].CallerAddress()+"/x", strings.NewReader("data"))
	if err != nil {
		return sendResult{err: err}
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	request.Header.Set("Standin-Id", id)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	response, err := f.client.Do(request)
	if err != nil {
		return sendResult{err: err, took: time.Since(start)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return sendResult{response.StatusCode, response.Header.Get("Pollenscale-Outcome"), time.Since(start), err, response.Close}
}

// startLoad sends requests until stop is closed, and checks that each is answered and
// runs once.
func (f *testFleet) startLoad(t *testing.T, stop <-chan struct{}, method string) (sent *atomic.Int64, wait func()) {
	sent = new(atomic.Int64)
	var group errgroup.Group
	for worker := range 8 {
		group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return nil
				default:
				}
				id := fmt.Sprintf("%s-%d-%d", method, worker, n)
				r := f.send(t.Context(), 0, method, id, "Standin-Service-Time", "3ms")
				if r.err != nil || r.status != http.StatusOK {
					return fmt.Errorf("%s: %+v", id, r)
				}
				if ran := f.executions(id); len(ran) != 1 {
					return fmt.Errorf("%s: ran %d times", id, len(ran))
				}
				sent.Add(1)
			}
		})
	}
	return sent, func() {
		t.Helper()
		is.New(t).NoErr(group.Wait())
	}
}

// redirect makes the first daemon send attempts for a target to another address.
func (f *testFleet) redirect(id fleet.DaemonID, address string) {
	balance := f.nodes[0].loadControl
	f.nodes[0].members.setOnTargets(func(targets []fleet.Target) {
		for i := range targets {
			if targets[i].Daemon == id {
				targets[i].PeerAddress = address
			}
		}
		balance.chooser.SetTargets(targets)
	})
}

// TestSilentConnection guards against requests that hang on a connection that stops
// delivering data without being closed, and against running one of them twice.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	p := newProxy(t, f.nodes[1].Self.PeerAddress)
	f.redirect("b", p.Addr().String())
	for n := range 20 {
		is.Equal(f.send(t.Context(), 0, "POST", fmt.Sprint("warm", n)).status, http.StatusOK)
	}
	var group errgroup.Group
	var wrongRuns, lostAnswers atomic.Int64
	request := func(id, serviceTime string) {
		group.Go(func() error {
			r := f.send(t.Context(), 0, "POST", id, "Standin-Service-Time", serviceTime)
			if r.took > 2500*time.Millisecond || r.err != nil {
				return fmt.Errorf("%s: %+v", id, r)
			}
			if r.status != http.StatusOK {
				lostAnswers.Add(1)
				if r.outcome != "Run" {
					return fmt.Errorf("%s: %+v", id, r)
				}
			}
			if n := len(f.executions(id)); n != 1 {
				wrongRuns.Add(1)
			}
			return nil
		})
	}
	for n := range 6 {
		request(fmt.Sprint("running", n), "200ms")
	}
	time.Sleep(100 * time.Millisecond)
	p.blackhole()
	for n := range 20 {
		request(fmt.Sprint("new", n), "1ms")
	}
	is.NoErr(group.Wait())
	is.Equal(wrongRuns.Load(), int64(0))
	is.True(lostAnswers.Load() <= 6) // at most the 6 running requests, whose answers were lost
	is.Equal(f.send(t.Context(), 0, "POST", "after").status, http.StatusOK)
}

// TestTargetDrains guards against new requests for a target whose answers report that it
// is draining while its health endpoint still reports that it is serving.
func TestTargetDrains(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	stop := make(chan struct{})
	_, wait := f.startLoad(t, stop, "POST")
	time.Sleep(200 * time.Millisecond)
	draining := f.nodes[1].target
	draining.UpdateBehaviour(func(b *standin.Behaviour) { b.Draining, b.HealthState = true, fleet.Serving })
	is.True(len(draining.Log()) > 0)
	eventually(t, 3*time.Second, func() bool { return f.nodes[1].State.Get() == fleet.Draining })
	ran := len(draining.Log())
	time.Sleep(time.Second)
	is.Equal(len(draining.Log()), ran)
	close(stop)
	wait()
}

// TestDaemonStops guards against requests that fail when the daemon of a target is stopped
// as planned, also while long requests are in flight.
func TestDaemonStops(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	stop := make(chan struct{})
	sent, wait := f.startLoad(t, stop, "POST")
	var long errgroup.Group
	for n := range 3 { // if all run at the other target, one of its slots stays free
		long.Go(func() error {
			if r := f.send(t.Context(), 0, "POST", fmt.Sprint("long", n), "Standin-Service-Time", "2s"); r.status != http.StatusOK {
				return fmt.Errorf("long: %+v", r)
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.nodes[1].stop()
	<-f.nodes[1].stopped
	before := sent.Load()
	time.Sleep(200 * time.Millisecond)
	is.True(sent.Load() > before)
	is.NoErr(long.Wait())
	close(stop)
	wait()
}

// TestDaemonKilled guards against requests that run twice, or that ran although the
// outcome was NotRun, when a daemon is killed and restarted.
func TestDaemonKilled(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	var group errgroup.Group
	var stop atomic.Bool
	for worker := range 8 {
		group.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				r := f.send(t.Context(), 0, "POST", id, "Standin-Service-Time", "10ms")
				ran := len(f.executions(id))
				if r.err != nil || ran > 1 || r.outcome == "NotRun" && ran != 0 || r.status == http.StatusOK && ran != 1 {
					return fmt.Errorf("%s: ran %d times: %+v", id, ran, r)
				}
			}
			return nil
		})
	}
	for n := range *restartsFlag {
		time.Sleep(200 * time.Millisecond)
		f.restart(t, f.nodes[1+n%2], true)
	}
	stop.Store(true)
	is.NoErr(group.Wait())
}

// TestEntryStops guards against requests that fail when their entry is stopped as planned.
// Callers switch to another entry when an answer asks them to close their connection.
func TestEntryStops(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "desk", "agenda")
	var group errgroup.Group
	var switched atomic.Int64
	until := time.Now().Add(2 * time.Second)
	for worker := range 8 {
		group.Go(func() error {
			for n, entry := 0, 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				r := f.send(t.Context(), entry, "POST", id, "Standin-Service-Time", "5ms")
				if r.err != nil || r.status != http.StatusOK || len(f.executions(id)) != 1 {
					return fmt.Errorf("%s at %d: %+v", id, entry, r)
				}
				if r.closeRequested {
					entry = 1
					switched.Add(1)
				}
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.nodes[0].stop()
	is.NoErr(group.Wait())
	is.Equal(switched.Load(), int64(8))
}

// TestCancel guards against requests that keep running at the target after their caller
// has disconnected.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r := f.send(ctx, 0, "POST", "gone", "Standin-Service-Time", "2s")
	is.True(r.err != nil)
	eventually(t, time.Second, func() bool {
		ran := f.executions("gone")
		return len(ran) == 1 && ran[0].End == "Cancelled" && f.nodes[1].Serve.InFlight() == 0
	})
}

// TestCrash guards against wrong outcomes when a target crashes: Unknown is right for
// requests that were sent to it, and NotRun for those still queued.
func TestCrash(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda")
	var group errgroup.Group
	var unknown, notRun atomic.Int64
	for n := range 7 { // 4 run and 3 are queued
		group.Go(func() error {
			switch r := f.send(t.Context(), 0, "POST", fmt.Sprint("beside", n), "Standin-Service-Time", "500ms"); r.outcome {
			case "Unknown":
				unknown.Add(1)
			case "NotRun":
				notRun.Add(1)
			}
			return nil
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	f.nodes[1].target.Crash()
	is.NoErr(group.Wait())
	is.Equal(unknown.Load(), int64(4))
	is.Equal(notRun.Load(), int64(3))
}
