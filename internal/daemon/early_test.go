package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"pollenscale/core/fleet"
	standin "pollenscale/standin/target"

	"github.com/matryer/is"
)

// earlyTarget answers uploads before it has read them, and reads on.
type earlyTarget struct {
	http.Handler
	got chan []byte
}

// earlyAnswer is the answer to an upload: its length, and whether it is declared.
type earlyAnswer struct {
	bytes    int
	declared bool
}

func (a earlyAnswer) String() string { return fmt.Sprintf("%d declared %v", a.bytes, a.declared) }

func (v earlyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		v.Handler.ServeHTTP(w, r)
		return
	}
	const first = 16 << 10
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	var body bytes.Buffer
	io.CopyN(&body, r.Body, first)
	length, _ := strconv.Atoi(r.Header.Get("Answer-Bytes"))
	if r.Header.Get("Answer-Declared") == "true" {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	w.Write(bytes.Repeat([]byte("a"), length))
	control.Flush()
	time.Sleep(50 * time.Millisecond) // the answer is on its way before the rest is read
	io.Copy(&body, r.Body)
	v.got <- body.Bytes()
}

// addNodeWithTarget adds a daemon whose target is served by the handler.
func (f *testFleet) addNodeWithTarget(t *testing.T, service fleet.Service, handler func(http.Handler) http.Handler) {
	t.Helper()
	m := &node{target: standin.New(standin.Behaviour{Slots: 4})}
	server := httptest.NewServer(handler(m.target))
	t.Cleanup(server.Close)
	m.server = server.Config
	m.address = server.Listener.Addr().String()
	m.build(t, "with-target", service, "127.0.0.1:0", "127.0.0.1:0", f.options...)
	f.addSeeds(m)
	f.nodes = append(f.nodes, m)
	m.start(t)
	f.waitMembership(t)
}

// TestEarlyAnswerCorruptsBody guards against a target that begins to answer before it has
// read the body of a request, and then gets that body with a gap, with foreign bytes or
// without its end, and against a caller that gets a part of the answer.
func TestEarlyAnswerCorruptsBody(t *testing.T) {
	playEarlyAnswers(t, earlyAnswer{100, false}, earlyAnswer{128 << 10, false})
}

// TestEarlyCompleteAnswerCutsBody guards against a target that has answered completely before
// it has read the body of a request, and then gets that body without its end.
func TestEarlyCompleteAnswerCutsBody(t *testing.T) {
	playEarlyAnswers(t, earlyAnswer{100, true}, earlyAnswer{128 << 10, true})
}

func playEarlyAnswers(t *testing.T, answers ...earlyAnswer) {
	got := make(chan []byte, 1)
	f := startFleet(t, "desk")
	f.addNodeWithTarget(t, "agenda", func(h http.Handler) http.Handler { return earlyTarget{h, got} })
	for _, answer := range answers {
		for _, bodyBytes := range []int{10 << 10, 60 << 10, 1 << 20, 4 << 20} {
			for _, chunked := range []bool{false, true} {
				for i, n := range f.nodes {
					u := earlyUpload{answer: answer, bytes: bodyBytes, chunked: chunked}
					t.Run(fmt.Sprintf("%v, %d daemons", u, len(f.nodes)-i), func(t *testing.T) { u.play(t, f, n, got) })
				}
			}
		}
	}
}

// earlyUpload is an upload that is answered early.
type earlyUpload struct {
	answer  earlyAnswer
	bytes   int
	chunked bool
}

func (u earlyUpload) String() string {
	return fmt.Sprintf("answer of %v, body of %d, chunked %v", u.answer, u.bytes, u.chunked)
}

func (u earlyUpload) play(t *testing.T, f *testFleet, n *node, got <-chan []byte) {
	is := is.New(t)
	var body bytes.Buffer
	for body.Len() < u.bytes {
		fmt.Fprintf(&body, "%010d", body.Len())
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+n.CallerAddress()+"/", io.NopCloser(bytes.NewReader(body.Bytes())))
	is.NoErr(err)
	if !u.chunked {
		r.ContentLength = int64(body.Len())
	}
	r.Header.Set("Pollenscale-Service", "agenda")
	r.Header.Set("Answer-Bytes", strconv.Itoa(u.answer.bytes))
	r.Header.Set("Answer-Declared", strconv.FormatBool(u.answer.declared))
	resp, err := f.client.Do(r)
	is.NoErr(err)
	content, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(content), u.answer.bytes)
	select {
	case all := <-got:
		is.Equal(len(all), body.Len())
		is.True(bytes.Equal(all, body.Bytes()))
	case <-time.After(5 * time.Second):
		t.Fatal("the target did not get the body")
	}
}
