package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenscale/core/exchange"

	"github.com/matryer/is"
)

// pipelineCase is a scripted connection of a client. A request is written as its id, the
// milliseconds that the target takes, and its form; a response as the id in its body and
// its status.
type pipelineCase struct {
	Name  string
	Steps []struct {
		Send             []string
		WaitMilliseconds int
		Close            bool
		Stop             bool
	}
	Responses []string
	Runs      []string
	Cancelled []string
	// LastRun is the request that begins to run last, if that is fixed.
	LastRun string
	// WithinMilliseconds limits the time until the last response; 0 means no limit.
	WithinMilliseconds int
	// Closed is set if the daemon closes the connection after the last response.
	Closed bool
}

// pipelineTarget is a target that records its runs.
type pipelineTarget struct {
	mu              sync.Mutex
	runs, cancelled []string
}

func (p *pipelineTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	if id == "" {
		return // a probe
	}
	p.record(&p.runs, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	takes, err := strconv.Atoi(r.Header.Get("Takes"))
	if err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(takes) * time.Millisecond):
		w.Header().Set("Id", id)
		w.Write([]byte(id))
	case <-r.Context().Done():
		p.record(&p.cancelled, id)
	}
}

func (p *pipelineTarget) record(list *[]string, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, id)
}

func (p *pipelineTarget) snapshot() (runs, cancelled []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.runs), slices.Clone(p.cancelled)
}

// pipelineRequest returns the bytes of a request.
func pipelineRequest(text string) string {
	f := strings.Fields(text)
	form := ""
	if len(f) > 2 {
		form = f[2]
	}
	if form == "malformed" {
		return "GET\r\n\r\n"
	}
	const inner = "GET /slots/1 HTTP/1.1\r\nHost: x\r\nId: inner\r\nTakes: 0\r\n\r\n"
	method, path, version, extra, body := "GET", "/slots/1", "HTTP/1.1", "", ""
	switch form {
	case "close":
		extra = "Connection: close\r\n"
	case "http10":
		version = "HTTP/1.0"
	case "chunked":
		method, extra, body = "POST", "Transfer-Encoding: chunked\r\n", "5\r\nGET /\r\n0\r\n\r\n"
	case "unsafe":
		path = "/orders/1"
	case "smuggled":
		method, extra, body = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(inner)), inner
	case "smuggledchunk":
		method, extra = "POST", "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	case "oversized":
		extra = "Filler: " + strings.Repeat("x", 2*defaultHeaderBytes) + "\r\n"
	}
	return fmt.Sprintf("%s %s %s\r\nHost: x\r\nId: %s\r\nTakes: %s\r\n%s\r\n%s", method, path, version, f[0], f[1], extra, body)
}

// TestPipelines guards against the failures named in testdata/pipelines.json, with clients
// that send further requests before the first one has been answered.
func TestPipelines(t *testing.T) {
	data, err := os.ReadFile("testdata/pipelines.json")
	is.New(t).NoErr(err)
	var cases []pipelineCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

func (c pipelineCase) play(t *testing.T) {
	is := is.New(t)
	target := &pipelineTarget{}
	p := startPath(t, 2, 5*time.Second, target.ServeHTTP)
	for _, daemon := range []*Sidecar{p.entry, p.beside} {
		daemon.protocol.ReadAnswer = func(_ int, h http.Header) exchange.Response {
			return exchange.Response{ID: exchange.RequestID(h.Get("Id")), FromTarget: true}
		}
	}
	address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/slots/1")
	conn, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer conn.Close()
	begun := time.Now()
	for _, step := range c.Steps {
		var sent strings.Builder
		for _, r := range step.Send {
			sent.WriteString(pipelineRequest(r))
		}
		_, err := io.WriteString(conn, sent.String())
		is.NoErr(err)
		time.Sleep(time.Duration(step.WaitMilliseconds) * time.Millisecond)
		if step.Stop {
			p.entry.stopAt(time.Now().Add(10 * time.Second))
		}
		if step.Close {
			is.NoErr(conn.Close())
		}
	}
	c.checkResponses(t, conn)
	if limit := time.Duration(c.WithinMilliseconds) * time.Millisecond; limit > 0 {
		is.True(time.Since(begun) < limit)
	}
	// Half a second is how long the work for a client that has gone may go on.
	time.Sleep(500 * time.Millisecond)
	runs, cancelled := target.snapshot()
	if c.LastRun != "" {
		is.Equal(runs[len(runs)-1], c.LastRun)
	}
	slices.Sort(runs) // requests that need not wait for their turn run at the same time
	slices.Sort(cancelled)
	is.Equal(runs, c.Runs)
	is.Equal(cancelled, c.Cancelled)
}

func (c pipelineCase) checkResponses(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	reader := bufio.NewReader(conn)
	for _, want := range c.Responses {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err) // a response to each request
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		got := fmt.Sprintf("%s %d", body, resp.StatusCode)
		if resp.StatusCode != http.StatusOK {
			got = fmt.Sprintf(" %d", resp.StatusCode)
		}
		is.Equal(got, want)
	}
	if c.Closed {
		_, err := reader.ReadByte()
		is.Equal(err, io.EOF) // the connection is closed without a reset
	}
}
