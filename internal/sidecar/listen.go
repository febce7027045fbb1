package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pollenscale/core/budget"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

// serve serves until the server is closed. After a graceful shutdown of the server it
// returns only when ctx ends: the first part of the daemon that returns ends all others.
func (v server) serve(ctx context.Context) error {
	if err := v.Serve(v.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// listen opens the listeners of all interfaces, or none if one of them cannot be opened. A
// metrics port that is taken is logged and left out.
func (s *Sidecar) listen(settings *Settings) ([]server, error) {
	callers := s.callerServer()
	parts := []struct {
		address string
		kind    budget.Kind
		server  *http.Server
	}{
		{settings.ListenCallers, budget.Callers, callers},
		{settings.ListenPeers, budget.Peers, &http.Server{
			Handler: http.HandlerFunc(s.servePeer), IdleTimeout: peerIdleTimeout, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: peerHeaderBytes,
		}},
		{settings.ListenReady, budget.Ready, localServer(s.serveReady)},
		{settings.ListenControl, budget.Control, localServer(s.serveControl)},
		{settings.ListenMetrics, budget.Metrics, localServer(s.serveMetrics)},
	}
	var servers []server
	for _, p := range parts {
		listener, err := net.Listen("tcp4", p.address)
		if err != nil && p.address == settings.ListenMetrics {
			s.log.Error("daemon: no metrics.", "address", p.address, "error", err)
			continue
		}
		if err != nil {
			return nil, errors.CombineErrors(err, closeListeners(servers))
		}
		if tcp, ok := listener.(*net.TCPListener); ok && p.server == callers {
			listener = http1.Listener{TCPListener: tcp, Early: s.prepareEarly, Reserve: s.guard.Reserve}
		}
		listener = s.guard.Listen(p.server, listener, p.kind)
		p.server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
		servers = append(servers, server{Server: p.server, listener: listener})
	}
	return servers, nil
}

// callerServer returns the server for clients and for the target beside the daemon. Its
// listener is an http1.Listener.
func (s *Sidecar) callerServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(s.serveCaller), ReadHeaderTimeout: defaultHeaderTimeout, ConnContext: http1.ConnContext,
		MaxHeaderBytes: defaultHeaderBytes, IdleTimeout: callerIdleTimeout, DisableGeneralOptionsHandler: true,
	}
}

// localServer returns a server for short calls from the VM and the platform.
func localServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: localReadTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: localHeaderBytes}
}

// closeListeners closes the listeners of servers that do not serve.
func closeListeners(servers []server) error {
	var err error
	for _, v := range servers {
		err = errors.CombineErrors(err, v.listener.Close())
	}
	return err
}

const (
	// defaultHeaderTimeout and defaultHeaderBytes apply to each connection; the limits
	// of the configuration are checked for each request.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	// peerHeaderBytes leaves room for the fields between daemons.
	peerHeaderBytes = 80 << 10
	// localReadTimeout limits how long the sender of a short call takes.
	localReadTimeout = 5 * time.Second
	// callerIdleTimeout is longer than any idle timeout of a configuration, so that the
	// daemon does not close a connection that a client still uses.
	callerIdleTimeout = 75 * time.Second
	// peerIdleTimeout is longer than daemons keep idle connections to each other.
	peerIdleTimeout = 30 * time.Second
)
