package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for an application backend, as PROTOCOL.md describes it.
type backend struct {
	id, service, address, control, zone string
	slots                               int
	born                                int64
	work                                time.Duration
	// run replaces the default answer, if set.
	run func(w http.ResponseWriter, r *http.Request, id string)
	// onRun is called when the backend begins to work on a request.
	onRun func(r *http.Request, id string)

	running atomic.Int32
	seq     atomic.Int64
	mu      sync.Mutex
	silent  bool // sends no more heartbeats
	server  *http.Server
	stop    chan struct{}
}

func (b *backend) start() error {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.born, b.stop = time.Now().UnixMilli(), make(chan struct{})
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(l)
	go b.beat()
	return nil
}

// end makes the backend exit.
func (b *backend) end() {
	if b.server == nil {
		return
	}
	b.stopBeats()
	b.server.Close()
}

func (b *backend) stopBeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.silent {
		b.silent = true
		close(b.stop)
	}
}

func (b *backend) beat() {
	for {
		b.heartbeat("ready")
		select {
		case <-b.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// heartbeat reports whether the daemon acknowledged within a second.
func (b *backend) heartbeat(state string) bool {
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "seq": b.seq.Add(1), "coldRemainingS": 0},
	})
	return b.call("instances.heartbeat", body)
}

// deregister reports whether the daemon acknowledged within a second.
func (b *backend) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": b.born})
	return b.call("instances.deregister", body)
}

func (b *backend) call(name string, body []byte) bool {
	r, err := controlClient.Post("http://"+b.control+"/pollenscale/rpc?call="+name+"&of="+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode/100 == 2
}

func (b *backend) load() string { return fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots) }

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Pollenscale-Server-Load", b.load())
	if r.Method == http.MethodGet && r.URL.Path == "/health" && r.Header.Get("X-Pollenscale-Try-Id") == "" {
		h.Set("X-Pollenscale-Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Pollenscale-Try-Id")
	if id != "" {
		h.Set("X-Pollenscale-Try-Id", id)
	}
	if expected := r.Header.Get("X-Pollenscale-Expect-Instance"); expected != "" && expected != b.id {
		h.Set("X-Pollenscale-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Pollenscale-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if int(b.running.Add(1)) > b.slots {
		b.running.Add(-1)
		h.Set("X-Pollenscale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	h.Set("X-Pollenscale-Response-Stamp", "stamp."+id)
	if b.onRun != nil {
		b.onRun(r, id)
	}
	if b.run != nil {
		b.run(w, r, id)
		return
	}
	time.Sleep(b.work)
	answer := "answer to " + id
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write([]byte(answer))
}
