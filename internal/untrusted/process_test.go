package untrusted

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// host runs the processes and the stand-ins of a site.
type host struct {
	ctx     context.Context
	cancel  func()
	group   errgroup.Group
	closers []func()
}

func newHost() *host {
	h := &host{}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// stop ends all processes and stand-ins.
func (h *host) stop() {
	h.cancel()
	for _, c := range h.closers {
		c()
	}
	h.group.Wait()
}

// serve serves at the address.
func (h *host) serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler}
	h.group.Go(func() error {
		server.Serve(listener)
		return nil
	})
	h.closers = append(h.closers, func() { server.Close() })
}

// launch starts the process, with a log of its own.
func (h *host) launch(t *testing.T, p *process) {
	t.Helper()
	is := is.New(t)
	cmd := p.command()
	log, err := os.Create(filepath.Join(t.TempDir(), p.ip+".log"))
	is.NoErr(err)
	cmd.Stdout, cmd.Stderr = log, log
	is.NoErr(cmd.Start())
	p.cmd.Store(cmd)
	h.group.Go(func() error {
		cmd.Wait()
		if p.cmd.Load() == cmd && !p.restarting.Load() {
			p.exited.Store(true)
		}
		return log.Close()
	})
	h.closers = append(h.closers, func() { cmd.Process.Kill() })
}

// process is one daemon.
type process struct {
	ip      string
	command func() *exec.Cmd
	cmd     atomic.Pointer[exec.Cmd]
	exited  atomic.Bool
	// restarting is set while the test ends the process itself.
	restarting atomic.Bool
	// ordinary are the requests of ordinary clients.
	ordinary []ordinaryRequest
	// metrics is the port of its metrics.
	metrics string
	// descriptors is the largest number of open descriptors that was seen.
	descriptors int
}

func (p *process) address(port string) string { return net.JoinHostPort(p.ip, port) }

// ordinaryRequest is a request that an ordinary client sends until it has been served.
type ordinaryRequest struct {
	method, port, path string
	bytes              int // of the body
}

// sidecarRequests are the ordinary requests to a sidecar.
var sidecarRequests = []ordinaryRequest{
	{http.MethodGet, portCallers, "/read/one", 0},
	{http.MethodPost, portCallers, "/book/one", 1000},
	{http.MethodGet, portReady, "/pollenscale/ready", 0},
}

// send sends the request on a connection of its own.
func (o ordinaryRequest) send(p *process) error {
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(o.method, "http://"+p.address(o.port)+o.path, bytes.NewReader(make([]byte, o.bytes)))
	if err != nil {
		return err
	}
	r.Host = "untrusted.example"
	r.Header.Set("X-Pollenscale-Try-Id", fmt.Sprintf("%016x", time.Now().UnixNano()))
	r.Header.Set("Pollenscale-Service", "agenda")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, err := io.ReadAll(io.LimitReader(resp.Body, 100))
		return fmt.Errorf("status %d: %q, %v", resp.StatusCode, detail, err)
	}
	return nil
}

// awaitAnswers repeats the ordinary requests and the readiness check, as ordinary clients do,
// until all have been answered with 200.
func (p *process) awaitAnswers(within time.Duration) error {
	requests := p.ordinary
	var err error
	for end := time.Now().Add(within); len(requests) > 0 && time.Now().Before(end) && !p.exited.Load(); {
		if err = requests[0].send(p); err == nil {
			requests = requests[1:]
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(requests) > 0 {
		return fmt.Errorf("%s: no 200 for %s %s: %w", p.ip, requests[0].method, requests[0].path, err)
	}
	return nil
}

// restBytes is what the account of a process without requests may hold: the head of the
// request for the metrics.
const restBytes = 64 << 10

// awaitRoom waits until the process has got back everything that its clients occupied.
func (p *process) awaitRoom(within time.Duration) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var usage map[string]float64
		if usage, err = p.readMetrics(); err != nil {
			continue
		}
		bytes, known := usage["pollenscale_budget_bytes"]
		exchanges, streams := usage[`pollenscale_budget_descriptors{kind="exchanges"}`], usage[`pollenscale_budget_descriptors{kind="streams"}`]
		if known && bytes <= restBytes && exchanges == 0 && streams == 0 {
			return nil
		}
		err = fmt.Errorf("the account holds %.0f bytes, %.0f exchanges, %.0f streams (known: %v)", bytes, exchanges, streams, known)
	}
	return fmt.Errorf("%s: %w", p.ip, err)
}

// readMetrics returns the values of the metrics by name.
func (p *process) readMetrics() (map[string]float64, error) {
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.address(p.metrics) + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = v
			}
		}
	}
	return values, nil
}

// watch records the open descriptors until stop is closed.
func (p *process) watch(stop <-chan struct{}) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Load().Process.Pid)); err == nil {
			p.descriptors = max(p.descriptors, len(entries))
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the peak of the resident memory in bytes, or 0 if the process has ended.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Load().Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			if kb, err := strconv.Atoi(fields[1]); err == nil {
				return kb << 10
			}
		}
	}
	return 0
}
