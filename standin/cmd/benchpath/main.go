// Command benchpath measures the latency that two daemons add to a call,
// compared with calling the target directly.
//
// It connects to running processes, whose addresses and ids are in the
// environment; scripts/path.sh starts them. Each worker alternates between the
// two ways, so that disturbances of the machine affect both alike.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	maxLatency = 10 * time.Second
	digits     = 3
	// ticksPerSecond is the unit of CPU times in /proc on Linux.
	ticksPerSecond = 100
	// warmUp is the share of calls that is not counted.
	warmUp = 0.1
)

// way is one of the two ways to the target.
type way struct {
	name    string
	address string
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// bench is one run.
type bench struct {
	calls, workers, body int
	pause                time.Duration
	client               *http.Client
	ways                 [2]*way
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchpath:", err)
		os.Exit(1)
	}
}

func run() error {
	b := &bench{}
	flag.IntVar(&b.calls, "calls", 40000, "calls on each way")
	flag.IntVar(&b.workers, "workers", 4, "calls at the same time")
	flag.IntVar(&b.body, "body", 200, "bytes of the request body")
	flag.DurationVar(&b.pause, "pause", time.Millisecond, "pause of a worker after each call")
	flag.Parse()
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: b.workers}}
	b.ways = [2]*way{newWay("direct", "TARGET"), newWay("daemons", "ENTRY")}
	before, err := cpu("ENTRY_PID", "TARGET_DAEMON_PID")
	if err != nil {
		return err
	}
	if err := b.work(); err != nil {
		return err
	}
	after, err := cpu("ENTRY_PID", "TARGET_DAEMON_PID")
	if err != nil {
		return err
	}
	return b.print(after - before)
}

func newWay(name, variable string) *way {
	return &way{name: name, address: os.Getenv(variable), latency: hdrhistogram.New(1, maxLatency.Nanoseconds(), digits)}
}

func (b *bench) work() error {
	group, ctx := errgroup.WithContext(context.Background())
	for range b.workers {
		group.Go(func() error { return b.worker(ctx) })
	}
	return group.Wait()
}

func (b *bench) worker(ctx context.Context) error {
	calls := b.calls / b.workers
	for n := range calls {
		for _, w := range b.ways {
			took, err := b.call(ctx, w)
			if err != nil {
				return errors.Wrap(err, w.name)
			}
			if n >= int(warmUp*float64(calls)) {
				w.record(took)
			}
			time.Sleep(b.pause)
		}
	}
	return nil
}

func (b *bench) call(ctx context.Context, w *way) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address+"/bookings", bytes.NewReader(make([]byte, b.body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	start := time.Now()
	response, err := b.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	took := time.Since(start)
	if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", response.StatusCode)
	}
	return took, nil
}

func (w *way) record(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.latency.RecordValue(took.Nanoseconds()) // longer calls than maxLatency fail
}

func (b *bench) print(used time.Duration) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%-8s %10s %10s %10s   ms, %d calls each, %d workers\n", "", "p50", "p99", "p99.9", b.calls, b.workers)
	for _, w := range b.ways {
		fmt.Fprintf(&out, "%-8s %10.3f %10.3f %10.3f\n", w.name, w.at(50), w.at(99), w.at(99.9))
	}
	direct, daemons := b.ways[0], b.ways[1]
	fmt.Fprintf(&out, "%-8s %10.3f %10.3f %10.3f\n", "added",
		daemons.at(50)-direct.at(50), daemons.at(99)-direct.at(99), daemons.at(99.9)-direct.at(99.9))
	fmt.Fprintf(&out, "CPU of both daemons per call: %.0f us\n", float64(used.Microseconds())/float64(b.calls))
	_, err := io.WriteString(os.Stdout, out.String())
	return err
}

// at returns a percentile in milliseconds.
func (w *way) at(percentile float64) float64 {
	return float64(w.latency.ValueAtPercentile(percentile)) / float64(time.Millisecond)
}

// cpu returns the CPU time of the processes whose ids the variables hold.
func cpu(variables ...string) (time.Duration, error) {
	var total time.Duration
	for _, v := range variables {
		data, err := os.ReadFile("/proc/" + os.Getenv(v) + "/stat") //nolint:gosec // the ids come from scripts/path.sh
		if err != nil {
			return 0, err
		}
		// User and system time are the 12th and 13th field after the name.
		fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
		for _, f := range fields[11:13] {
			ticks, err := strconv.ParseInt(f, 10, 64)
			if err != nil {
				return 0, err
			}
			total += time.Duration(ticks) * time.Second / ticksPerSecond
		}
	}
	return total, nil
}
