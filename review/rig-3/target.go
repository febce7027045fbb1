package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// targetSlots is the number of slots of a target.
const targetSlots = 9

// workHeader is a header of the clients of this rig: the milliseconds that a target works on the
// request.
const workHeader = "Review-Work-Ms"

// target stands in for a target. It announces itself, works on requests and records its runs.
type target struct {
	vm       *vm
	id       string
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	// garbles is set while the target also sends a second copy of extraShare of its responses,
	// which arrives where the next response on the connection is expected.
	garbles atomic.Bool
}

// startTarget starts the target of the VM.
func (v *vm) startTarget() error {
	born := time.Now()
	v.target = &target{vm: v, id: fmt.Sprintf("i-%08x", uint32(born.UnixNano())), born: born.UnixMilli()}
	if err := v.fleet.serve(v.address(portTarget), v.target); err != nil {
		return err
	}
	v.fleet.group.Go(func() error {
		for v.fleet.ctx.Err() == nil {
			pause := heartbeatInterval
			if !v.target.sendHeartbeat() {
				pause = 200 * time.Millisecond
			}
			select {
			case <-v.fleet.ctx.Done():
			case <-time.After(pause):
			}
		}
		return nil
	})
	return nil
}

// sendHeartbeat announces the target to the daemon beside it.
func (t *target) sendHeartbeat() bool {
	body, err := json.Marshal(map[string]any{
		"address": t.vm.address(portTarget), "born": t.born,
		"info":   map[string]any{"service": serviceName, "version": "v1", "zone": t.vm.zone, "slots": targetSlots},
		"status": map[string]any{"state": "ready", "seq": t.sequence.Add(1), "coldRemainingS": 0},
	})
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+t.vm.address(portControl)+"/pollenscale/rpc?call=instances.heartbeat&of="+t.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	return r.Body.Close() == nil && r.StatusCode < http.StatusMultipleChoices
}

// ServeHTTP serves health checks and requests.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Pollenscale-Server-Load", fmt.Sprintf("%d,0,%d", t.running.Load(), targetSlots))
	if r.URL.Path == "/health" {
		h.Set("X-Pollenscale-Instance-Id", t.id)
		return
	}
	id := r.Header.Get("X-Pollenscale-Try-Id")
	if e := extraOf(r); e.response != "" {
		t.sendExtra(w, e, id)
		return
	}
	if id != "" {
		h.Set("X-Pollenscale-Try-Id", id)
	}
	if r.Header.Get("X-Pollenscale-Expect-Instance") != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	work, err := strconv.Atoi(r.Header.Get(workHeader))
	if err != nil || id == "" {
		h.Set("X-Pollenscale-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.running.Add(1)
	defer t.running.Add(-1)
	t.vm.fleet.record.ran(id, t.id)
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		t.vm.fleet.record.note("%s: the connection closed during the run at %s", id, t.id)
		return
	}
	body := bodyOf(id)
	h.Set("X-Pollenscale-Response-Stamp", "stamp."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write([]byte(body)); err != nil { //nolint:gosec // only clients of this rig read it
		t.vm.fleet.record.note("%s: the response could not be written: %v", id, err)
	}
	if t.garbles.Load() && rand.Float64() < extraShare {
		extraOf(r).response = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Response-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s",
			id, id, len(body), body)
	}
}

// bodyOf returns the body of the response to a request.
func bodyOf(id string) string { return strings.Repeat(id+"\n", 8) }
