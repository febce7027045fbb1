package untrusted

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pollenscale/platform/rowstore"

	"github.com/matryer/is"
)

// Limits of the daemons under test. Those of the configuration and the settings are lower
// than in use, so that a small crowd shows what a large one does there.
const (
	memoryMB       = 64
	maxDescriptors = 300
	reserved       = 200 // descriptors that the platform keeps for itself
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	crowdSize      = 60
)

// Ports of every daemon; each has a loopback address of its own.
const (
	portPeers   = "8300"
	portTarget  = "8301"
	portReady   = "8302"
	portCallers = "8304"
	portControl = "8306"
	portMetrics = "9464"
)

// site is daemons in processes of their own, with a target beside each and a store.
type site struct {
	daemons []*process
	store   *rowstore.Store
	host    *host
	stop    func()
}

// sites counts the sites of this test process, which have different addresses.
var sites int

// addressPrefix returns the beginning of the addresses of a new site.
func addressPrefix() string {
	sites++
	return fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, sites)
}

// services are those of the targets of a site, unless a test needs others.
var services = []string{"agenda", "agenda"}

// startSite starts a site with a target of each of the services and waits until it serves.
func startSite(t *testing.T, binary string, services ...string) *site {
	t.Helper()
	is := is.New(t)
	prefix := addressPrefix()
	s := &site{store: rowstore.New()}
	s.store.Put("op", "config", configuration(t, 1))
	h := newHost()
	s.host = h
	s.stop = h.stop
	t.Cleanup(s.stop)
	h.serve(t, prefix+"250:8309", s.store)
	for i, service := range services {
		p := &process{ip: prefix + strconv.Itoa(i+1), ordinary: sidecarRequests, metrics: portMetrics}
		s.daemons = append(s.daemons, p)
		h.serve(t, p.address(portTarget), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r, p.ip) }))
		path := filepath.Join(t.TempDir(), p.ip+".json")
		is.NoErr(os.WriteFile(path, p.settings(t, prefix+"250:8309", service), 0o600))
		p.command = func() *exec.Cmd {
			cmd := exec.Command(binary)
			cmd.Env = []string{"POLLENSCALE_BOOT=" + path}
			return cmd
		}
		h.launch(t, p)
		h.group.Go(func() error {
			for n := 1; h.ctx.Err() == nil; n++ {
				p.heartbeat(h.ctx, n, service)
				time.Sleep(200 * time.Millisecond)
			}
			return nil
		})
	}
	for _, p := range s.daemons {
		is.NoErr(p.awaitAnswers(10 * time.Second))
	}
	return s
}

// configuration returns a version of the configuration.
func configuration(t *testing.T, version int) []byte {
	t.Helper()
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "untrusted.example", "prefix": "/" + name + "/", "type": kind, "timeoutS": 4,
			"targetLatencyS": 1, "priority": 1, "service": "agenda", "maxAttempts": 2,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   []any{route("read", "safe"), route("book", "unsafe"), route("upload", "upload")},
		"services": []any{map[string]any{"name": "agenda", "healthCheckPath": "/health", "maxConnections": 200}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": 5, "idleTimeoutS": 15},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (p *process) settings(t *testing.T, store, service string) []byte {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"nodeName": p.ip, "ip": p.ip, "zone": "a1", "region": "a",
		"listen": map[string]string{
			"inbound": p.address(portPeers), "outbound": p.address(portCallers),
			"ready": p.address(portReady), "control": p.address(portControl),
		},
		"internalPorts": []int{7620, 7635}, "seeds": []string{},
		"bounds":  []string{"drainS=2", "graceS=6", "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=58"},
		"appAddr": p.address(portTarget), "service": service,
		"provider": map[string]any{"address": store},
		"limits":   map[string]any{"memoryMb": memoryMB, "maxFds": maxDescriptors},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// born is the start time that the targets state.
var born = time.Now().UnixMilli()

func (p *process) heartbeat(ctx context.Context, sequence int, service string) {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"a1","slots":64},"status":{"state":"ready","seq":%d}}`,
		p.address(portTarget), born, service, sequence)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+p.address(portControl)+"/pollenscale/rpc?call=instances.heartbeat&of=i-"+p.ip, strings.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(r); err == nil {
		resp.Body.Close()
	}
}

// bigResponse is a response that is passed on in one piece.
var bigResponse = bytes.Repeat([]byte("r"), 40<<10)

// longBytes is the length of a response that does not fit into the buffers of sockets.
const longBytes = 400 * (40 << 10)

// respond is the handler of a target. Paths that end in "slow" take half a second.
func respond(w http.ResponseWriter, r *http.Request, ip string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Pollenscale-Instance-Id", "i-"+ip)
	h.Set("X-Pollenscale-Server-Load", "1,0,64,100")
	if id := r.Header.Get("X-Pollenscale-Try-Id"); id != "" {
		h.Set("X-Pollenscale-Try-Id", id)
	}
	h.Set("X-Pollenscale-Response-Stamp", "stamp")
	switch {
	case strings.HasSuffix(r.URL.Path, "slow"):
		time.Sleep(500 * time.Millisecond)
	case strings.HasSuffix(r.URL.Path, "big"):
		w.Write(bigResponse)
	case strings.HasSuffix(r.URL.Path, "long"):
		h.Set("Content-Length", strconv.Itoa(longBytes))
		for range longBytes / len(bigResponse) {
			if _, err := w.Write(bigResponse); err != nil {
				return
			}
		}
	}
}
