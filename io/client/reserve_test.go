package client

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/budget"
	"pollenscale/io/http1"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestReserveAheadClosesConnection guards against a connection that is never closed: its lock is
// held while memory for its pipelined requests is reserved, and the account would close the
// connection itself for that memory, since its client does not read the response before.
func TestReserveAheadClosesConnection(t *testing.T) {
	is := is.New(t)
	account := budget.New(budget.Limits{Bytes: 1 << 10, Descriptors: map[budget.Kind]int{budget.Callers: 10}})
	guard := New(account, metrics.NewSet(), WithLog(slog.New(slog.DiscardHandler)))
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	listener := http1.Listener{TCPListener: tcp, Reserve: guard.Reserve}
	peer, err := net.Dial("tcp4", tcp.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	long := time.Now().Add(-time.Minute)
	g, ok := guard.Open(accepted, budget.Callers)
	is.True(ok)
	g.entry.Begin(long)
	g.entry.BeginWrite(long)
	g.serving.Store(true)

	var group errgroup.Group
	read := make(chan struct{})
	group.Go(func() error {
		defer close(read)
		_, err := g.Read(make([]byte, 1)) // one byte, as net/http reads during a request
		return err
	})
	_, err = peer.Write([]byte(http.MethodGet))
	is.NoErr(err)
	select {
	case <-read:
	case <-time.After(2 * time.Second):
		t.Fatal("the read of a later request does not end")
	}
	is.NoErr(group.Wait())
	is.Equal(account.Usage().Ended, 0)
	is.NoErr(g.Close())
	is.NoErr(peer.Close())
	is.NoErr(tcp.Close())
}
