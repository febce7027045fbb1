package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/internal/sidecar"
	"pollenscale/platform"
	"pollenscale/platform/rowstore"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// departureCase is a target that leaves in an outage of the store, after which daemons are
// killed and start again.
type departureCase struct {
	Name string
	// Call is how the target leaves, drain or deregister.
	Call string
	// Outage is that of the store: Silent, Busy or Lose, empty for none.
	Outage string
	// Killed is one (the daemon beside the target), half or all.
	Killed string
	// OutageAfterwards begins the outage once the departure is acknowledged.
	OutageAfterwards bool
	// OlderCopy makes the store come back from a copy of before the departure.
	OlderCopy bool
	// LateHeartbeat is when a heartbeat that the target sent before it left arrives at the
	// restarted daemon: InOutage or Afterwards, empty for never.
	LateHeartbeat string
	// RestartedBefore kills the daemon beside the target and starts it in the outage, before
	// the target leaves.
	RestartedBefore bool
	// WantAcknowledged is set if the departure must be acknowledged at once.
	WantAcknowledged bool
}

// outage returns that of the store.
func (c departureCase) outage() rowstore.Outage {
	switch c.Outage {
	case "Silent":
		return rowstore.Outage{Silent: true}
	case "Busy":
		return rowstore.Outage{Busy: true}
	case "Lose":
		return rowstore.Outage{Lose: 1}
	}
	return rowstore.Outage{}
}

// process is a daemon that can be killed and started again.
type process struct {
	settings sidecar.Settings
	store    string
	kill     context.CancelFunc
	group    *errgroup.Group
}

func (p *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	tables := platform.NewStoreClient(p.store).Tables()
	v := sidecar.New(p.settings, platform.Protocol("absent"), sidecar.WithTables(tables), sidecar.WithLog(slog.New(slog.DiscardHandler)))
	p.group = new(errgroup.Group)
	p.group.Go(func() error { return v.Run(ctx) })
	p.kill = cancel
}

func (p *process) ready() bool {
	return get("http://"+p.settings.ListenReady+platform.ReadyPath, "") == http.StatusOK
}

// leavingTarget is a target that serves on after it has left.
type leavingTarget struct {
	*httptest.Server
	control string
	runs    atomic.Int64
	seq     int
	// observe is called with each request, nil if no one observes them.
	observe atomic.Pointer[func(*http.Request)]
}

func startLeavingTarget(t *testing.T, s sidecar.Settings) *leavingTarget {
	t.Helper()
	v := &leavingTarget{control: s.ListenControl}
	listener, err := net.Listen("tcp4", s.Target)
	is.New(t).NoErr(err)
	v.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Pollenscale-Try-Id")
		if id == "" {
			return // a probe
		}
		v.runs.Add(1)
		if observe := v.observe.Load(); observe != nil {
			(*observe)(r)
		}
		w.Header().Set("X-Pollenscale-Try-Id", id)
		w.Header().Set("X-Pollenscale-Response-Stamp", "stamp")
	}))
	v.Listener.Close()
	v.Listener = listener
	v.Start()
	t.Cleanup(v.Close)
	return v
}

// call makes a call of the target and reports whether it is acknowledged.
func (v *leavingTarget) call(name, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+v.control+"/pollenscale/rpc?call=instances."+name+"&of=i-1", "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (v *leavingTarget) heartbeat(state string) bool {
	return v.call("heartbeat", v.heartbeatBody(state))
}

// heartbeatBody returns the body of the next heartbeat.
func (v *leavingTarget) heartbeatBody(state string) string {
	v.seq++
	return fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":"agenda","zone":"scl-a","slots":9},
		"status":{"state":%q,"seq":%d,"coldRemainingS":0}}`, v.Listener.Addr().String(), state, v.seq)
}

func (v *leavingTarget) leave(c departureCase) bool {
	if c.Call == "drain" {
		return v.heartbeat("draining")
	}
	return v.call("deregister", `{"born":1000}`)
}

// TestAcknowledgedDepartureForgotten guards against requests to a target whose departure was
// acknowledged in or before an outage of the store, after daemons that knew of it were killed.
func TestAcknowledgedDepartureForgotten(t *testing.T) {
	var cases []departureCase
	data, err := os.ReadFile("testdata/departures.json")
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		settings := []sidecar.Settings{newSettings(), newSettings(), newSettings(), newSettings()}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.play(t, settings)
		})
	}
}

func (c departureCase) play(t *testing.T, settings []sidecar.Settings) {
	is := is.New(t)
	rows := rowstore.New()
	putConfig(rows, 1)
	store := httptest.NewServer(rows)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	target := startLeavingTarget(t, settings[0])
	var processes []*process
	for _, s := range settings {
		processes = append(processes, &process{settings: s, store: store.Listener.Addr().String()})
	}
	start := func(some []*process) {
		for _, p := range some {
			p.start()
		}
		for _, p := range some {
			within(t, 5*time.Second, "ready", p.ready)
		}
	}
	kill := func(some []*process) {
		for _, p := range some {
			p.kill()
		}
		for _, p := range some {
			is.NoErr(p.group.Wait())
		}
	}
	start(processes)
	t.Cleanup(func() { kill(processes) })
	is.True(target.heartbeat("ready"))
	serves := func(p *process) bool { return sendAs(p.settings.ListenCallers) == http.StatusOK }
	for _, p := range processes {
		within(t, 5*time.Second, "served", func() bool { return serves(p) })
	}
	within(t, 2*time.Second, "recorded", func() bool { return strings.Contains(string(rows.Value("members", settings[0].ListenPeers)), "i-1") })
	late, copied := target.heartbeatBody("ready"), rows.Version()
	if !c.OutageAfterwards {
		rows.SetOutage(c.outage())
	}
	beside := processes[:1]
	if c.RestartedBefore {
		kill(beside)
		start(beside)
	}
	acknowledged := target.leave(c)
	if !acknowledged {
		acknowledged = target.leave(c) // a target calls again
	}
	if c.WantAcknowledged {
		is.True(acknowledged)
	}
	if c.OlderCopy {
		rows.Restore(copied)
	}
	rows.SetOutage(c.outage())
	some := map[string][]*process{"one": beside, "half": processes[:2], "all": processes}[c.Killed]
	kill(some)
	for _, p := range some {
		p.start()
	}
	time.Sleep(200 * time.Millisecond)
	if c.LateHeartbeat == "InOutage" {
		before := target.runs.Load()
		is.True(target.call("heartbeat", late))
		for range 20 {
			for _, p := range processes {
				is.True(!serves(p))
			}
		}
		is.Equal(target.runs.Load(), before)
	}
	rows.SetOutage(rowstore.Outage{})
	for _, p := range processes {
		within(t, 5*time.Second, "ready", p.ready)
	}
	if c.LateHeartbeat == "Afterwards" {
		is.True(target.call("heartbeat", late))
	}
	if !acknowledged {
		is.True(target.leave(c)) // the store is back
	}
	time.Sleep(500 * time.Millisecond) // less than the users' bound for a drain
	before := target.runs.Load()
	for range 5 {
		for _, p := range processes {
			is.True(!serves(p))
		}
	}
	is.Equal(target.runs.Load(), before)
}

// sendAs sends a request to a daemon and returns the status of the response.
func sendAs(callers string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+callers+"/1/", nil)
	if err != nil {
		return 0
	}
	r.Host = "x"
	r.Header.Set("X-Pollenscale-Try-Id", fmt.Sprint("request-", time.Now().UnixNano()))
	r.Header.Set("X-Pollenscale-Deadline-Ms", "500")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	if resp.Body.Close() != nil {
		return 0
	}
	return resp.StatusCode
}
