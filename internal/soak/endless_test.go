package soak

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// endlessShare is the share of runs and probes that are answered without end during
	// the fault.
	endlessShare = 0.2
	// endlessAllowed is how long a daemon may leave a connection open on which it gets
	// bytes without end: the longest deadline, a freeze of the daemon, and a margin.
	endlessAllowed = 5 * time.Second
	// endlessPause is the time between two pieces, so that the bytes do not use up the
	// processor.
	endlessPause = time.Millisecond
)

// endlessBeginnings are what bytes without end begin with: a line, a head or a body.
var endlessBeginnings = []string{
	"", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n",
}

// writeEndlessly writes bytes that are no answer until the daemon closes the connection.
func (t *appTarget) writeEndlessly(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	beginning := endlessBeginnings[rand.IntN(len(endlessBeginnings))]
	piece := bytes.Repeat([]byte("x"), 4<<10)
	end := time.Now().Add(endlessAllowed)
	if err := conn.SetDeadline(end); err != nil {
		panic(err)
	}
	for _, err := conn.Write([]byte(beginning)); err == nil; _, err = conn.Write(piece) {
		time.Sleep(endlessPause)
	}
	if !time.Now().Before(end) {
		t.vm.site.ledger.violate("ENDLESS: %s still has its connection %s after it began %q", t.id, endlessAllowed, beginning)
	}
}

// answerEndlessly makes the target answer some runs and probes with bytes without end for
// a while.
func (t *appTarget) answerEndlessly(d time.Duration) {
	t.setEndless(endlessShare)
	time.Sleep(d)
	t.setEndless(0)
}

func (t *appTarget) setEndless(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endless = share
}
