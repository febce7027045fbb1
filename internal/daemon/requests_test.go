package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestCase is a request with the result that its caller and the targets must see.
type requestCase struct {
	Name, Method, Path, Service string
	HTTP2, Chunked              bool
	Header                      map[string]string
	BodyBytes                   int64
	DeadlineMilliseconds        int
	WantStatus                  int
	WantOutcome, WantReason     string
	WantRan                     int
	WantBytes                   int
	WantCutOff                  bool
}

// TestRequests guards against answers with a wrong outcome, bodies that are altered in
// transit, and truncated answers that look complete.
func TestRequests(t *testing.T) {
	var cases []requestCase
	loadJSON(t, "requests.json", &cases)
	f := startFleet(t, "desk", "agenda", "agenda")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, f) })
	}
	t.Run("no request stays in flight", func(t *testing.T) {
		eventually(t, 2*time.Second, func() bool {
			for _, m := range f.nodes {
				if m.Serve.InFlight() != 0 || m.target.Running() != 0 {
					return false
				}
			}
			return true
		})
	})
}

// TestStalledCaller guards against callers that stall in the middle of a request body and
// then get no answer, or occupy the target beyond their deadline.
func TestStalledCaller(t *testing.T) {
	var cases []struct {
		Name, Rank, WantOutcome string
		Bytes, Sent             int
		WantStatus              int
		WantRan                 int
	}
	loadJSON(t, "stalled.json", &cases)
	f := startFleet(t, "desk", "agenda")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", f.nodes[0].CallerAddress())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(2 * time.Second)))
			_, err = fmt.Fprintf(conn, "PUT / HTTP/1.1\r\nHost: x\r\nPollenscale-Service: agenda\r\nStandin-Id: %s\r\n"+
				"Pollenscale-Rank: %s\r\nPollenscale-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s", c.Name, c.Rank,
				time.Now().Add(400*time.Millisecond).Format(time.RFC3339Nano), c.Bytes, strings.Repeat("x", c.Sent))
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err) // an answer must arrive soon after the deadline
			defer response.Body.Close()
			is.Equal(response.StatusCode, c.WantStatus)
			is.Equal(response.Header.Get("Pollenscale-Outcome"), c.WantOutcome)
			is.Equal(len(f.executions(c.Name)), c.WantRan)
			eventually(t, time.Second, func() bool { return f.nodes[1].Serve.InFlight() == 0 })
		})
	}
}

func (c requestCase) run(t *testing.T, f *testFleet) {
	is := is.New(t)
	response, body, err := c.send(t, f)
	if c.WantCutOff {
		is.True(err != nil) // the answer must not look complete
	} else {
		is.NoErr(err)
	}
	is.Equal(response.StatusCode, c.WantStatus)
	is.Equal(response.Header.Get("Pollenscale-Outcome"), c.WantOutcome)
	ran := f.executions(c.Name)
	is.Equal(len(ran), c.WantRan)
	if c.WantBytes > 0 {
		is.Equal(len(body), c.WantBytes)
	}
	if c.WantReason != "" {
		var p struct{ Outcome, Reason, Detail string }
		is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
		is.NoErr(json.Unmarshal(body, &p))
		is.Equal([]string{p.Outcome, p.Reason}, []string{c.WantOutcome, c.WantReason})
		return
	}
	is.Equal(ran[0].URI, c.Path)
	is.Equal(ran[0].BodyBytes, c.BodyBytes)
	if c.Method != http.MethodHead {
		is.True(strings.HasPrefix(string(body), "id="+c.Name+" ")) // the answer to this request
	}
}

func (c requestCase) send(t *testing.T, f *testFleet) (*http.Response, []byte, error) {
	is := is.New(t)
	var body io.Reader
	if c.BodyBytes > 0 {
		body = zeros(c.BodyBytes)
	}
	request, err := http.NewRequest(c.Method, "http://"+f.nodes[0].CallerAddress()+c.Path, body)
	is.NoErr(err)
	request.ContentLength = c.BodyBytes
	if c.Chunked {
		request.ContentLength = -1
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	if c.Service != "" {
		request.Header.Set("Pollenscale-Service", strings.Trim(c.Service, "-"))
	}
	request.Header.Set("Standin-Id", c.Name)
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	if c.DeadlineMilliseconds > 0 {
		at := time.Now().Add(time.Duration(c.DeadlineMilliseconds) * time.Millisecond)
		request.Header.Set("Pollenscale-Deadline", at.Format(time.RFC3339Nano))
	}
	response, err := c.client(f).Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

func (c requestCase) client(f *testFleet) *http.Client {
	if !c.HTTP2 {
		return f.client
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}
