package untrusted

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// step is a step of a scripted client.
type step struct {
	// Send names the form of a request, which is sent Times times without a pause.
	Send  string
	Times int
	// CutBytes of the end are not sent.
	CutBytes int
	// DripBytes are sent one at a time, PauseMilliseconds apart.
	DripBytes int
	// ReadBytes are read one at a time, PauseMilliseconds apart.
	ReadBytes int
	// Responses are read completely.
	Responses         int
	PauseMilliseconds int
	// Reset ends the connection by a reset.
	Reset bool
	// Stay reads until the connection ends.
	Stay bool
}

// scriptedCrowd is a crowd of testdata/crowds.json: client i plays script i, modulo their
// number, again and again.
type scriptedCrowd struct {
	Name    string
	Scripts [][]step
}

func loadCrowds(t *testing.T) []scriptedCrowd {
	t.Helper()
	data, err := os.ReadFile("testdata/crowds.json")
	if err != nil {
		t.Fatal(err)
	}
	var crowds []scriptedCrowd
	if err := json.Unmarshal(data, &crowds); err != nil {
		t.Fatal(err)
	}
	return crowds
}

// play is the client of a scripted crowd.
func (s scriptedCrowd) play(d dialect, i int, c net.Conn, stop <-chan struct{}) {
	reader := bufio.NewReader(c)
	for _, st := range s.Scripts[i%len(s.Scripts)] {
		if stopped(stop) || st.play(d, c, reader, stop) != nil {
			return
		}
	}
}

func (st step) play(d dialect, c net.Conn, reader *bufio.Reader, stop <-chan struct{}) error {
	if st.Send != "" {
		request := strings.Repeat(d.form(st.Send), max(1, st.Times))
		if _, err := io.WriteString(c, request[:len(request)-st.CutBytes]); err != nil {
			return err
		}
	}
	for range st.DripBytes {
		if _, err := c.Write(body[:1]); err != nil || !st.pause(stop) {
			return net.ErrClosed
		}
	}
	for range st.ReadBytes {
		if _, err := c.Read(make([]byte, 1)); err != nil || !st.pause(stop) {
			return net.ErrClosed
		}
	}
	for range st.Responses {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	switch tcp, ok := c.(*net.TCPConn); {
	case st.Reset && ok:
		tcp.SetLinger(0)
	case st.Stay:
		stay(c)
	}
	st.pause(stop)
	return nil
}

// pause reports whether the crowd goes on.
func (st step) pause(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(time.Duration(st.PauseMilliseconds) * time.Millisecond):
		return true
	}
}

// form returns the bytes of a request.
func (d dialect) form(name string) string {
	post := func(path string, length int) string {
		return d.head("POST", path) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body[:length])
	}
	switch name {
	case "slow lookup":
		return d.head("GET", "/read/slow") + "\r\n"
	case "long lookup":
		return d.head("GET", "/read/long") + "\r\n"
	case "booking":
		return post("/book/one", 900<<10)
	case "slow booking":
		return post("/book/slow", 10<<10)
	case "upload":
		return post("/upload/one", maxBodyBytes)
	case "damaged line":
		return "GET\r\n\r\n"
	case "damaged version":
		return strings.Replace(d.head("GET", "/read/slow"), "HTTP/1.1", "HTTP/9.x", 1) + "\r\n"
	case "damaged field":
		return d.head("GET", "/read/slow") + "a b\x00: c\r\n\r\n"
	case "damaged length":
		return d.head("POST", "/book/one") + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nbody!"
	case "bare line ends":
		return strings.ReplaceAll(d.head("GET", "/read/slow"), "\r\n", "\n") + "\n"
	}
	panic("no request of the form " + name)
}
