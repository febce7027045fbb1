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

// proxy passes connections on and can make the open ones silent.
type proxy struct {
	net.Listener
	to     string
	mu     sync.Mutex
	silent []*atomic.Bool
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{Listener: l, to: to}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			p.pass(&group, c)
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *proxy) pass(group *errgroup.Group, c net.Conn) {
	d, err := net.Dial("tcp", p.to)
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

// silence makes all open connections silent; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
}

// reply is what a caller saw.
type reply struct {
	status  int
	outcome string
	took    time.Duration
	err     error
	// closing is set when the entry asks the caller to leave.
	closing bool
}

func (f *testFleet) send(ctx context.Context, entry int, method, id string, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[entry].CallerAddress()+"/x", strings.NewReader("data"))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	request.Header.Set("Standin-Id", id)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	response, err := f.client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{response.StatusCode, response.Header.Get("Pollenscale-Outcome"), time.Since(start), err, response.Close}
}

// load sends requests until stop is closed, and checks that all are answered.
func (f *testFleet) load(t *testing.T, stop <-chan struct{}, method string) (sent *atomic.Int64, wait func()) {
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
				if ran := f.ran(id); len(ran) != 1 {
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

// redirect makes the first daemon send attempts for a target to an address.
func (f *testFleet) redirect(id fleet.DaemonID, address string) {
	balance := f.nodes[0].balance
	f.nodes[0].members.setChanged(func(targets []fleet.Target) {
		for i := range targets {
			if targets[i].Daemon == id {
				targets[i].PeerAddress = address
			}
		}
		balance.chooser.SetTargets(targets)
	})
}

// TestSilentConnection guards against requests that wait for ever on a
// connection that went silent, and against running one of them twice.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	p := newProxy(t, f.nodes[1].Own.PeerAddress)
	f.redirect("b", p.Addr().String())
	for n := range 20 {
		is.Equal(f.send(t.Context(), 0, "POST", fmt.Sprint("warm", n)).status, http.StatusOK)
	}
	var group errgroup.Group
	var ranTwice, lost atomic.Int64
	request := func(id, serviceTime string) {
		group.Go(func() error {
			r := f.send(t.Context(), 0, "POST", id, "Standin-Service-Time", serviceTime)
			if r.took > 2500*time.Millisecond || r.err != nil {
				return fmt.Errorf("%s: %+v", id, r)
			}
			if r.status != http.StatusOK {
				lost.Add(1)
				if r.outcome != "Run" {
					return fmt.Errorf("%s: %+v", id, r)
				}
			}
			if n := len(f.ran(id)); n != 1 {
				ranTwice.Add(1)
			}
			return nil
		})
	}
	for n := range 6 {
		request(fmt.Sprint("running", n), "200ms")
	}
	time.Sleep(100 * time.Millisecond)
	p.silence()
	for n := range 20 {
		request(fmt.Sprint("new", n), "1ms")
	}
	is.NoErr(group.Wait())
	is.Equal(ranTwice.Load(), int64(0))
	is.True(lost.Load() <= 6) // only those whose answer was lost
	is.Equal(f.send(t.Context(), 0, "POST", "after").status, http.StatusOK)
}

// TestTargetDrains guards against new work for a target after its answers show
// that it drains, although its health endpoint denies it.
func TestTargetDrains(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	stop := make(chan struct{})
	_, wait := f.load(t, stop, "POST")
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

// TestDaemonStops guards against requests that are cut by the planned stop of a
// daemon: of the target's, of the entry, and with long work under way.
func TestDaemonStops(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	stop := make(chan struct{})
	sent, wait := f.load(t, stop, "POST")
	var long errgroup.Group
	for n := range 3 { // one slot stays free if all run at the other target
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

// TestDaemonDies guards against requests that run twice, or that ran although
// their caller was told 'not run', when a daemon is killed and comes back.
func TestDaemonDies(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda", "agenda")
	var group errgroup.Group
	var stop atomic.Bool
	for worker := range 8 {
		group.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				r := f.send(t.Context(), 0, "POST", id, "Standin-Service-Time", "10ms")
				ran := len(f.ran(id))
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

// TestEntryStops guards against requests that are cut by the planned stop of
// their entry. Callers leave when an answer closes their connection.
func TestEntryStops(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "desk", "agenda")
	var group errgroup.Group
	var moved atomic.Int64
	until := time.Now().Add(2 * time.Second)
	for worker := range 8 {
		group.Go(func() error {
			for n, entry := 0, 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				r := f.send(t.Context(), entry, "POST", id, "Standin-Service-Time", "5ms")
				if r.err != nil || r.status != http.StatusOK || len(f.ran(id)) != 1 {
					return fmt.Errorf("%s at %d: %+v", id, entry, r)
				}
				if r.closing {
					entry = 1
					moved.Add(1)
				}
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.nodes[0].stop()
	is.NoErr(group.Wait())
	is.Equal(moved.Load(), int64(8))
}

// TestCancel guards against work that goes on at the target after its caller
// has gone.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "desk", "agenda")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r := f.send(ctx, 0, "POST", "gone", "Standin-Service-Time", "2s")
	is.True(r.err != nil)
	eventually(t, time.Second, func() bool {
		ran := f.ran("gone")
		return len(ran) == 1 && ran[0].End == "Cancelled" && f.nodes[1].Serve.InFlight() == 0
	})
}

// TestCrash guards against a wrong outcome for requests at a target that
// crashes: unknown for those handed over, not run for those queued.
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
