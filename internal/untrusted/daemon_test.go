package untrusted

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	// The program under test, so that a cached result is not taken for that of changed code.
	_ "pollenscale/internal/cli"
)

// daemonRequests are the ordinary requests to "pollenscale daemon".
var daemonRequests = []ordinaryRequest{
	{http.MethodGet, portCallers, "/read/one", 0},
	{http.MethodPost, portCallers, "/book/one", 1000},
	{http.MethodGet, portMetrics, "/readyz", 0},
}

// TestUntrustedClientsOfDaemon is TestUntrustedClients for the program "pollenscale daemon".
func TestUntrustedClientsOfDaemon(t *testing.T) {
	binary := buildProgram(t, "pollenscale")
	cases := []struct {
		name  string
		port  string
		conns int // of each client
		send  client
	}{
		{"short lines", portCallers, 1, shortLines},
		{"odd lines", portCallers, 1, oddLines},
		{"heads over the limit", portCallers, 1, longHeads},
		{"heads without end", portCallers, 1, endlessHead},
		{"empty lines without end", portCallers, 1, emptyLines},
		{"unfinished bodies", portCallers, 1, unfinishedBody},
		{"unfinished chunks", portCallers, 1, unfinishedChunks},
		{"whole bodies", portCallers, 1, wholeBodies},
		{"unread pipelines", portCallers, 1, unreadPipeline},
		{"chunk extensions and trailers without end", portCallers, 1, endlessChunkParts},
		{"idle connections", portCallers, 3, idle},
		{"heads of streams", portCallers, 1, streamHeads},
		{"unfinished bodies of streams", portCallers, 1, streamBodies},
		{"long responses to streams", portCallers, 1, streamResponses},
		{"idle connections to the peers address", portPeers, 3, idle},
		{"short lines to the peers address", portPeers, 1, shortLines},
		{"heads of streams to the peers address", portPeers, 1, streamHeads},
		{"unfinished bodies of streams to the peers address", portPeers, 1, streamBodies},
		{"idle connections to the operators address", portMetrics, 3, idle},
		{"short lines to the operators address", portMetrics, 1, shortLines},
		{"unfinished bodies to the operators address", portMetrics, 1, unfinishedBody},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check(t, startDaemons(t, binary), crowd{port: c.port, dialect: daemonDialect, conns: c.conns, send: c.send})
		})
	}
	for _, c := range loadCrowds(t) {
		t.Run(c.Name, func(t *testing.T) {
			check(t, startDaemons(t, binary), crowd{port: portCallers, dialect: daemonDialect, conns: 1, send: c.play, rounds: 2})
		})
	}
}

// startDaemons starts two processes of "pollenscale daemon", with a target beside each.
func startDaemons(t *testing.T, binary string) *site {
	t.Helper()
	is := is.New(t)
	prefix := addressPrefix()
	h := newHost()
	s := &site{host: h, stop: h.stop}
	t.Cleanup(s.stop)
	for i := range 2 {
		p := &process{ip: prefix + strconv.Itoa(i+1), ordinary: daemonRequests, metrics: portMetrics}
		s.daemons = append(s.daemons, p)
		h.serve(t, p.address(portTarget), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r, p.ip) }))
		path := filepath.Join(t.TempDir(), p.ip+".json")
		is.NoErr(os.WriteFile(path, p.daemonSettings(t, prefix+strconv.Itoa(2-i)), 0o600))
		p.command = func() *exec.Cmd {
			// The program takes the limit of descriptors from the operating system.
			return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s daemon --settings %s", maxDescriptors, binary, path))
		}
		h.launch(t, p)
	}
	for _, p := range s.daemons {
		is.NoErr(p.awaitAnswers(10 * time.Second))
	}
	return s
}

// daemonSettings returns the settings of a process. Its memory is the default.
func (p *process) daemonSettings(t *testing.T, seed string) []byte {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"Daemon": p.ip, "Region": "a", "AvailabilityZone": "a1",
		"CallerAddress": p.address(portCallers), "PeerAddress": p.address(portPeers), "OperatorAddress": p.address(portMetrics),
		"Target": map[string]any{"Address": p.address(portTarget), "Service": "agenda", "Slots": 64},
		"Seeds":  []string{net.JoinHostPort(seed, portPeers)},
		"Policy": map[string]any{"Version": 1, "Services": map[string]any{"agenda": map[string]any{
			"Name": "agenda", "DefaultRank": "normal", "MaxBodyBytes": maxBodyBytes,
			"Ranks":  []any{map[string]any{"Name": "normal", "Worth": 1, "Timeout": 4000}},
			"Routes": []any{map[string]any{"Method": "GET", "PathPrefix": "/", "Idempotent": true}},
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// streams is the number of streams that a client opens on its connection.
const streams = 50

// overStreams sends requests as streams of an HTTP/2 connection until they fail or stop is
// closed. The connection is c.
func overStreams(c net.Conn, stop <-chan struct{}, request func() *http.Request, receive func(*http.Response)) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	taken := false
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if taken {
			return nil, net.ErrClosed
		}
		taken = true
		return c, nil
	}}
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	for range streams {
		group.Go(func() error {
			for !stopped(stop) {
				resp, err := transport.RoundTrip(request())
				if err != nil {
					return err
				}
				receive(resp)
				resp.Body.Close()
			}
			return nil
		})
	}
	group.Wait()
}

// streamRequest returns a request that is sent as a stream.
func streamRequest(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://untrusted.example"+path, body)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Pollenscale-Service", "agenda")
	return r
}

// discard reads a response.
func discard(resp *http.Response) { io.Copy(io.Discard, resp.Body) }

func streamHeads(_ dialect, i int, c net.Conn, stop <-chan struct{}) {
	overStreams(c, stop, func() *http.Request {
		r := streamRequest(http.MethodGet, "/read/slow", nil)
		for n := range 1500 {
			name := "A"
			if i%2 == 0 {
				name = fmt.Sprintf("%s%d", rand.Text()[:2], n)
			}
			r.Header[name] = append(r.Header[name], "")
		}
		return r
	}, discard)
}

func streamBodies(_ dialect, i int, c net.Conn, stop <-chan struct{}) {
	ended := make(chan struct{})
	var writers errgroup.Group
	overStreams(c, stop, func() *http.Request {
		// The last byte is not sent.
		rest, writer := io.Pipe()
		writers.Go(func() error {
			writer.Write(body[:length(i)-1])
			<-ended
			return writer.Close()
		})
		r := streamRequest(http.MethodPost, []string{"/book/one", "/upload/one"}[i%2], rest)
		r.ContentLength = int64(length(i))
		return r
	}, discard)
	close(ended)
	writers.Wait()
}

func streamResponses(_ dialect, _ int, c net.Conn, stop <-chan struct{}) {
	overStreams(c, stop, func() *http.Request { return streamRequest(http.MethodGet, "/read/long", nil) }, func(resp *http.Response) {
		for !stopped(stop) {
			if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}
