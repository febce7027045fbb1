// Package untrusted tests that processes of the daemon stay alive and within their memory and
// their descriptors, and still serve ordinary callers, whatever clients send.
package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	// The program under test, so that a cached result is not taken for that of changed code.
	_ "pollenscale/platform"
)

// TestUntrustedClients guards against clients that exhaust the memory or the descriptors of a
// daemon or keep it from serving others.
func TestUntrustedClients(t *testing.T) {
	binary := buildProgram(t, "sidecar")
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
		{"short lines to the peers address", portPeers, 1, shortLines},
		{"unfinished bodies to the peers address", portPeers, 1, unfinishedBody},
		{"idle connections to the peers address", portPeers, 3, idle},
		{"short lines to the control address", portControl, 1, shortLines},
		{"unfinished bodies to the control address", portControl, 1, unfinishedBody},
		{"idle connections to the control address", portControl, 3, idle},
		{"short lines to the metrics address", portMetrics, 1, shortLines},
		{"unfinished bodies to the metrics address", portMetrics, 1, unfinishedBody},
		{"idle connections to the metrics address", portMetrics, 3, idle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check(t, startSite(t, binary, services...), crowd{port: c.port, dialect: sidecarDialect, conns: c.conns, send: c.send})
		})
	}
}

// TestScriptedClients guards against the failures of TestUntrustedClients with crowds that are
// read from testdata/crowds.json.
func TestScriptedClients(t *testing.T) {
	binary := buildProgram(t, "sidecar")
	for _, c := range loadCrowds(t) {
		t.Run(c.Name, func(t *testing.T) {
			check(t, startSite(t, binary, services...), crowd{port: portCallers, dialect: sidecarDialect, conns: 1, send: c.play, rounds: 2})
		})
	}
}

// buildProgram builds a program under test and returns its path.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", binary, "pollenscale/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// crowd is a crowd of clients that send to the first daemons of a site.
type crowd struct {
	port    string
	dialect dialect
	conns   int // of each client
	send    client
	// targets is the number of daemons that they send to, 0 for one.
	targets int
	// rounds is how often they come and leave, 0 for once.
	rounds int
	// during, if set, is called while the crowd sends, and the first daemon has to serve
	// ordinary clients afterwards.
	during func()
}

// check lets a crowd of clients send to a site, and checks all daemons.
func check(t *testing.T, s *site, c crowd) {
	t.Helper()
	ended := make(chan struct{})
	var watchers errgroup.Group
	for _, p := range s.daemons {
		watchers.Go(func() error {
			p.watch(ended)
			return nil
		})
	}
	for range max(1, c.rounds) {
		c.play(t, s)
		for _, p := range s.daemons {
			if err := p.awaitAnswers(8 * time.Second); err != nil {
				t.Errorf("after the crowd: %v", err)
			}
		}
	}
	for _, p := range s.daemons {
		if err := p.awaitRoom(8 * time.Second); err != nil {
			t.Errorf("after the crowd: %v", err)
		}
	}
	close(ended)
	watchers.Wait()
	for _, p := range s.daemons {
		memory := p.peakMemory()
		t.Logf("%s: %d MB, %d descriptors", p.ip, memory>>20, p.descriptors)
		if p.exited.Load() || memory == 0 {
			t.Errorf("%s has ended: %v", p.ip, p.cmd.Load().ProcessState)
		}
		if memory >= memoryMB<<20 {
			t.Errorf("%s: peak memory of %d MB, allowed %d", p.ip, memory>>20, memoryMB)
		}
		if p.descriptors > maxDescriptors-reserved {
			t.Errorf("%s: %d descriptors, allowed %d", p.ip, p.descriptors, maxDescriptors-reserved)
		}
	}
}

// play lets the crowd send, and checks that all daemons serve ordinary clients meanwhile.
func (c crowd) play(t *testing.T, s *site) {
	t.Helper()
	stop := make(chan struct{})
	var clients errgroup.Group
	for i := range crowdSize * c.conns {
		to := s.daemons[i%max(1, c.targets)]
		clients.Go(func() error {
			keepSending(to.address(c.port), c.dialect, i, c.send, stop)
			return nil
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if c.during != nil {
		c.during()
	}
	for _, p := range s.daemons {
		if err := p.awaitAnswers(8 * time.Second); err != nil {
			t.Errorf("with the crowd: %v", err)
		}
	}
	close(stop)
	clients.Wait()
}

// TestSingleRequests guards against limits that a request inside the limits of the
// configuration meets when it is alone.
func TestSingleRequests(t *testing.T) {
	s := startSite(t, buildProgram(t, "sidecar"), services...)
	p := s.daemons[0]
	d := sidecarDialect
	names := func(n int) string { return fmt.Sprintf("%s%d:\r\n", string(tokens[n%len(tokens)]), n) }
	requests := map[string]string{
		"head of short lines":  d.fill(func(int) string { return "a:\r\n" }),
		"head of odd lines":    d.fill(names),
		"head of one line":     d.head("GET", "/read/one") + "a: " + strings.Repeat("b", maxHeaderBytes-100) + "\r\n\r\n",
		"body with a length":   d.bodyHead(0, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + string(body),
		"body in chunks":       d.bodyHead(1, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", maxBodyBytes, body),
		"body kept for a copy": d.bodyHead(1, fmt.Sprintf("Content-Length: %d", 1<<20)) + string(body[:1<<20]),
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp4", p.address(portCallers))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			var sender errgroup.Group
			sender.Go(func() error {
				_, err := io.WriteString(c, request)
				return err
			})
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v", resp, err)
			}
			if err := sender.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
