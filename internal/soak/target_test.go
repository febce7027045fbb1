package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollenscale/platform/rowstore"
)

const (
	slots     = 6
	work      = 25 * time.Millisecond
	drain     = 2 * time.Second
	beatEvery = 300 * time.Millisecond
)

// appTarget stands in for a target: it has slots, phases in which it is slow,
// announces itself to the daemon beside it and keeps a ledger of what it ran.
type appTarget struct {
	vm      *vm
	id      string
	born    int64
	service string
	server  *http.Server
	cancel  context.CancelFunc

	mu       sync.Mutex
	sequence int
	running  int
	draining bool
	// ackedAt is when the daemon acknowledged the drain, or when a response first stated it.
	ackedAt time.Time
	slow    bool
	lose    float64 // share of the runs whose answer is lost
	endless float64 // share of the runs and probes that are answered with bytes without end
	limited bool    // states rateLimit and counts arrivals
	// arrivals are those of requests and probes since firstStated.
	arrivals    []time.Time
	firstStated time.Time
	coldUntil   time.Time
	// coldArrivals are the requests of the last second that arrived while the target was cold.
	coldArrivals []time.Time
}

const (
	// rateLimit is the rate that a limited target states, in requests per second.
	rateLimit = 8
	// rateSpan, rateFactor and rateSlack are those of the users' rule LIMIT.
	rateSpan   = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// limitFor makes the target state its rate limit for a while, and checks that it gets no
// more than the rule allows in any span that begins half a second after the first
// statement.
func (t *appTarget) limitFor(d time.Duration) {
	t.mu.Lock()
	if t.limited {
		t.mu.Unlock()
		return
	}
	t.limited, t.arrivals, t.firstStated = true, nil, time.Time{}
	t.mu.Unlock()
	time.Sleep(d)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limited = false
	if t.firstStated.IsZero() {
		return
	}
	counted := t.arrivals
	for len(counted) > 0 && counted[0].Sub(t.firstStated) < 500*time.Millisecond {
		counted = counted[1:]
	}
	for i := range counted {
		n := 0
		for n < len(counted)-i && counted[i+n].Sub(counted[i]) < rateSpan {
			n++
		}
		if allowed := rateFactor*rateLimit*rateSpan.Seconds() + rateSlack; float64(n) > allowed {
			t.vm.site.ledger.violate("LIMIT: %s got %d requests in %s, allowed %g", t.id, n, rateSpan, allowed)
			return
		}
	}
}

// loseResponses makes the target lose the responses of some runs for a while.
func (t *appTarget) loseResponses(d time.Duration) {
	t.setLose(0.2)
	time.Sleep(d)
	t.setLose(0)
}

func (t *appTarget) setLose(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = share
}

// state adds what the target states about itself to a response. One that does not arrive
// tells the daemon nothing.
func (t *appTarget) state(h http.Header, arrived time.Time, arrives bool) {
	if t.draining {
		h.Set("Server-Leaving", "1")
		if t.ackedAt.IsZero() && arrives {
			t.ackedAt = arrived
		}
	}
	if !t.limited {
		return
	}
	h.Set("Server-Limit", fmt.Sprint(rateLimit))
	if t.firstStated.IsZero() && arrives {
		t.firstStated = arrived
	}
	t.arrivals = append(t.arrivals, arrived)
}

// startTarget starts a new incarnation beside the daemon of a VM.
func startTarget(v *vm, service string, cold time.Duration) (*appTarget, error) {
	t := &appTarget{vm: v, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), service: service, coldUntil: time.Now().Add(cold)}
	listener, err := listen(v.address(portTarget))
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: t}
	ctx, cancel := context.WithCancel(v.site.ctx)
	t.cancel = cancel
	v.site.group.Go(func() error {
		t.server.Serve(listener)
		return nil
	})
	v.site.group.Go(func() error { return t.beat(ctx) })
	return t, nil
}

// listen binds an address that the last owner may not have left yet.
func listen(address string) (net.Listener, error) {
	for range 50 {
		if l, err := net.Listen("tcp4", address); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return net.Listen("tcp4", address)
}

// stop ends the target as a crash does.
func (t *appTarget) stop() {
	t.cancel()
	t.server.Close()
}

// leave drains the target as planned and ends it.
func (t *appTarget) leave() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for range 20 {
		if t.sendBeat() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.mu.Lock()
	t.ackedAt = time.Now()
	t.mu.Unlock()
	time.Sleep(drain + 300*time.Millisecond)
	t.call("instances.deregister", nil)
	t.stop()
}

// leaveUnannounced states in all responses that the target leaves, without a heartbeat
// or a deregistration that arrives, and ends it. Requests later than the drain time after
// the first such response break the rule.
func (t *appTarget) leaveUnannounced() {
	t.cancel()
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	time.Sleep(2*drain + 300*time.Millisecond)
	t.stop()
}

// leaveWhileKilled deregisters the target without a drain. Then its daemon is killed, and its
// last heartbeat arrives late at the next one, which cannot reach the store.
func (t *appTarget) leaveWhileKilled(lateness time.Duration) {
	t.cancel()
	late := t.beatBody()
	for range 20 {
		if t.call("instances.deregister", fmt.Appendf(nil, `{"born":%d}`, t.born)) {
			t.mu.Lock()
			t.ackedAt = time.Now()
			t.mu.Unlock()
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.vm.store.cut[outward].Store(true)
	if err := t.vm.restart(syscall.SIGKILL); err != nil {
		t.vm.site.ledger.violate("the harness failed: %v", err)
	}
	time.Sleep(lateness)
	t.call("instances.heartbeat", late)
	time.Sleep(lateness)
	t.vm.store.cut[outward].Store(false)
	time.Sleep(2*drain + 300*time.Millisecond)
	t.stop()
}

func (t *appTarget) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.slow = rand.Float64() < 0.25
		t.mu.Unlock()
		t.sendBeat()
		select {
		case <-time.After(beatEvery):
		case <-ctx.Done():
		}
	}
	return nil
}

func (t *appTarget) sendBeat() bool { return t.call("instances.heartbeat", t.beatBody()) }

// beatBody returns the body of the next heartbeat.
func (t *appTarget) beatBody() []byte {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": t.vm.address(portTarget), "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.vm.zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": t.sequence, "coldRemainingS": max(0, time.Until(t.coldUntil).Seconds())},
	})
	t.mu.Unlock()
	if err != nil {
		panic(err)
	}
	return body
}

func (t *appTarget) call(name string, body []byte) bool {
	at := "http://" + t.vm.address(portControl) + "/pollenscale/rpc?call=" + name + "&of=" + t.id
	client := http.Client{Timeout: time.Second}
	r, err := client.Post(at, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (t *appTarget) load(h http.Header) {
	level := 100
	if t.slow {
		level = 500
	}
	h.Set("X-Pollenscale-Server-Load", fmt.Sprintf("%d,0,%d,%d", t.running, slots, level))
	h.Set("X-Pollenscale-Instance-Id", t.id)
}

func (t *appTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "" {
		t.vm.site.ledger.violate("KEY: %s sees the header Authorization", t.id)
	}
	if r.URL.Path != "/health" {
		t.checkArrival(time.Now())
	}
	if strings.HasPrefix(r.URL.Path, "/upload/") {
		t.serveUpload(w, r)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Pollenscale-Try-Id")
	t.mu.Lock()
	t.load(w.Header())
	lost := rand.Float64() < t.lose
	endless := rand.Float64() < t.endless
	probed := r.URL.Path == "/health"
	t.state(w.Header(), arrived, !endless && (probed || !lost))
	factor := time.Duration(1)
	if t.slow {
		factor = 5
	}
	late := !t.ackedAt.IsZero() && arrived.Sub(t.ackedAt) > drain
	expected := r.Header.Get("X-Pollenscale-Expect-Instance")
	full := t.running >= slots
	admitted := id != "" && expected == t.id && !full
	if admitted {
		t.running++
	}
	t.mu.Unlock()
	if probed {
		w.Header().Set("X-Pollenscale-Cold-Ms", fmt.Sprint(t.coldFor().Milliseconds()))
		if endless {
			t.writeEndlessly(w)
		}
		return
	}
	w.Header().Set("X-Pollenscale-Try-Id", id)
	switch {
	case expected != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !admitted:
		w.Header().Set("X-Pollenscale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	ledger := t.vm.site.ledger
	ledger.ran(id, t, r, body)
	if late {
		ledger.violate("DRAIN: %s reached %s %s after its drain was acknowledged", id, t.id, arrived.Sub(t.ackedAt))
	}
	select {
	case <-time.After(factor * time.Duration(float64(work)*(0.6+rand.Float64()))):
	case <-r.Context().Done():
		return
	}
	switch {
	case lost:
		rowstore.HangUp(w)
		return
	case endless:
		t.writeEndlessly(w)
		return
	}
	w.Header().Set("X-Pollenscale-Response-Stamp", "stamp-"+id)
	w.Write([]byte(answerTo(id, strings.HasPrefix(r.URL.Path, "/export/"))))
}

// answerTo is the whole answer to a request. One in eight is 136 KB long, an export 204 KB.
func answerTo(id string, export bool) string {
	lines := 60
	if export {
		lines = 12000
	} else if strings.HasSuffix(id, "0") || strings.HasSuffix(id, "1") {
		lines = 8000
	}
	return strings.Repeat(id+"\n", lines)
}
