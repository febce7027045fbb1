// Command platform serves the stand-in for the platform's table service and
// object store.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"pollenscale/standin/memstore"
	"pollenscale/standin/platform"
)

func main() {
	address := flag.String("listen", "127.0.0.1:0", "address to serve at")
	seed := flag.Uint64("seed", 1, "seed of random faults")
	flag.Parse()
	if err := serve(*address, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

// serve prints the address and serves until SIGINT or SIGTERM.
func serve(address string, seed uint64) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("http://" + listener.Addr().String())
	server := &http.Server{Handler: platform.New(memstore.New(memstore.WithSeed(seed))), ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { stop() })
	return group.Run()
}
