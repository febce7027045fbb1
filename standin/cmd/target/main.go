// Command target runs the stand-in for a target.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pollenscale/standin/target"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// crashCode is the exit code of a target that a request crashed.
const crashCode = 70

func main() {
	if err := start(); err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

func start() error {
	address := flag.String("address", "127.0.0.1:9000", "IP address and port to listen on")
	behaviour := flag.String("behaviour", `{"Slots":9,"ServiceMilliseconds":1}`, "behaviour as JSON")
	drain := flag.Duration("drain", 4*time.Second, "time between the first sign of draining and the stop")
	flag.Parse()
	var b target.Behaviour
	if err := json.Unmarshal([]byte(*behaviour), &b); err != nil {
		return errors.Wrap(err, "behaviour")
	}
	t := target.New(b)
	t.Crash = func() { os.Exit(crashCode) }
	return serve(t, *address, *drain)
}

// serve runs until a signal, then drains and stops.
func serve(t *target.Target, address string, drain time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	done := make(chan struct{})
	var g run.Group
	g.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-done
		return nil
	}, func(error) { _ = server.Close() })
	g.Add(func() error {
		defer close(done)
		<-stopped.Done()
		t.UpdateBehaviour(func(b *target.Behaviour) { b.Draining = true })
		time.Sleep(drain)
		return server.Shutdown(context.Background())
	}, func(error) { stop() })
	return g.Run()
}
