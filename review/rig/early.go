package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// content returns the bytes of an upload from an offset, a multiple of 8. Each 8 bytes
// hold the position, so that bytes from another place are recognised.
func content(id string, offset, n int) []byte {
	h := fnv.New32a()
	h.Write([]byte(id))
	out := make([]byte, n)
	for i := 0; i < n; i += 8 {
		binary.BigEndian.PutUint32(out[i:], h.Sum32())
		binary.BigEndian.PutUint32(out[i+4:], uint32(offset+i))
	}
	return out
}

const (
	uploadBytes = 4 << 20
	chunkBytes  = 32 << 10
	answerBytes = 128 << 10
	// readFirst is what a backend that answers early reads before it answers.
	readFirst = 64 << 10
)

// received is the body that a backend got in one run.
type received struct {
	mu       sync.Mutex
	bytes    int
	firstBad int // position of the first byte that the client did not send there, -1 if none
	err      error
}

// take reads up to n bytes of a body and compares them with those that were sent.
func (v *received) take(id string, body io.Reader, n int) {
	buffer := make([]byte, 8<<10)
	v.mu.Lock()
	defer v.mu.Unlock()
	for n > 0 {
		m, err := io.ReadFull(body, buffer[:min(len(buffer), n)])
		want := content(id, v.bytes, (m+7)/8*8)
		for i := 0; i < m && v.firstBad < 0; i++ {
			if buffer[i] != want[i] {
				v.firstBad = v.bytes + i
			}
		}
		v.bytes += m
		n -= m
		if err != nil {
			v.err = err
			return
		}
	}
}

const (
	// earlyShare is the part of its answers that a backend gives early: x of garble.
	earlyShare = 0.02
	earlyTime  = 45 * time.Second
)

// early: one of two backends gives a few of its answers before it has read a long body,
// keeps the connection and reads on. It must get the rest of that body.
func early(p *play) int {
	var mu sync.Mutex
	runs := map[string]*received{}
	earlyRuns := map[string]bool{}
	for range 2 {
		b, _ := p.addBackend(p.addMachine("scl-a", "agenda"), 9)
		b.work = 20 * time.Millisecond
	}
	for i := range 2 {
		b, _ := p.addBackend(p.addMachine("scl-a", "material"), 9)
		garbles := p.trouble && i == 0
		requests, answeredEarly := 0, 0
		b.run = func(w http.ResponseWriter, r *http.Request, id string) {
			upload := r.Method == http.MethodPost
			mu.Lock()
			requests++
			first := garbles && upload && float64(answeredEarly+1) <= earlyShare*float64(requests)
			v := &received{firstBad: -1}
			if upload {
				runs[id] = v
			}
			if first {
				answeredEarly++
				earlyRuns[id] = true
			}
			mu.Unlock()
			if !upload {
				time.Sleep(20 * time.Millisecond)
				w.Write([]byte("status"))
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
			reply := []byte(strings.Repeat("a", answerBytes))
			part := 0
			if first {
				part = answerBytes * 3 / 4
				control := http.NewResponseController(w)
				control.EnableFullDuplex()
				v.take(id, r.Body, readFirst)
				w.Write(reply[:part])
				control.Flush()
			}
			v.take(id, r.Body, 2*uploadBytes)
			w.Write(reply[part:])
			p.record.add("%s run at %s beside %s, answered early %v: got %d bytes of %d, end %v, first wrong byte at %d", id, b.id, b.address, first, v.bytes, uploadBytes, v.err, v.firstBad)
		}
	}
	p.publish(7, []routeRow{
		{Name: "r-upload", Host: "material.example", Prefix: "/in/", Type: "upload", TimeoutS: 1.2, TargetLatencyS: 0.8, Priority: 2, Service: "material", MaxAttempts: 2},
		{Name: "r-status", Host: "material.example", Prefix: "/status/", Type: "safe", TimeoutS: 1, TargetLatencyS: 0.4, Priority: 1, Service: "material", MaxAttempts: 2},
	}, "agenda", "material")
	if !p.begin() {
		return failed
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, m := range p.machines {
		group.Go(func() { p.browse(m, "material.example", "/status/", stop) })
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(600 * time.Millisecond):
				}
				p.upload(m, i%2 == 0)
			}
		})
	}
	time.Sleep(earlyTime)
	close(stop)
	group.Wait()
	time.Sleep(1500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	wrong, wrongEarly, whole := 0, 0, 0
	for id, v := range runs {
		v.mu.Lock()
		switch {
		case v.firstBad >= 0:
			wrong++
			if earlyRuns[id] {
				wrongEarly++
			}
		case v.bytes == uploadBytes:
			whole++
		}
		v.mu.Unlock()
	}
	p.record.add("%d uploads run, %d of them answered early; %d got other bytes where the rest of the body was due, %d of these were answered early; %d got the whole body", len(runs), len(earlyRuns), wrong, wrongEarly, whole)
	switch {
	case len(runs) < 50 || p.trouble && len(earlyRuns) == 0:
		return failed
	case wrong > 0:
		return broken
	}
	return held
}

// upload sends one upload and reads the answer while it sends, as a client does.
func (p *play) upload(m *machine, chunked bool) {
	id := newID()
	c, err := dial(m.address(portOutbound))
	if err != nil {
		p.record.add("%s: %v", id, err)
		return
	}
	defer c.Close()
	began := time.Now()
	c.SetDeadline(began.Add(1200 * time.Millisecond))
	framing := "Content-Length: " + strconv.Itoa(uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	p.record.add("%s sent to %s, %d bytes, %s", id, m.name, uploadBytes, framing)
	fmt.Fprintf(c, "POST /in/%s HTTP/1.1\r\nHost: material.example\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Deadline-Ms: 1200\r\n%s\r\n\r\n", id, id, framing)
	sent := make(chan error, 1)
	go func() {
		sent <- func() error {
			for at := 0; at < uploadBytes; at += chunkBytes {
				data := content(id, at, chunkBytes)
				if chunked {
					fmt.Fprintf(c, "%x\r\n", len(data))
					data = append(data, '\r', '\n')
				}
				if _, err := c.Write(data); err != nil {
					return err
				}
				time.Sleep(3 * time.Millisecond)
			}
			if chunked {
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err
			}
			return nil
		}()
	}()
	a := c.read("POST", began)
	p.record.add("%s answered: %v", id, a)
	p.record.add("%s sending ended: %v", id, <-sent)
}
