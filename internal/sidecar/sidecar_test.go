package sidecar_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"pollenscale/internal/sidecar"
	"pollenscale/platform"
	"pollenscale/platform/rowstore"

	"github.com/matryer/is"
)

// occupy uses an address for TCP and UDP until the test ends.
func occupy(t *testing.T, address string) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", address)
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	packets, err := net.ListenPacket("udp4", address)
	is.NoErr(err)
	t.Cleanup(func() { packets.Close() })
}

// TestMetricsPortTaken guards against a daemon that does not serve because its metrics port is taken.
func TestMetricsPortTaken(t *testing.T) {
	rows := rowstore.New()
	putConfig(rows, 1)
	settings := newSettings()
	occupy(t, settings.ListenMetrics)
	start(t, rows, settings) // until it is ready
}

// TestMetricsMissing guards against metrics that cannot be read.
func TestMetricsMissing(t *testing.T) {
	is := is.New(t)
	rows := rowstore.New()
	putConfig(rows, 1)
	settings := newSettings()
	start(t, rows, settings)
	resp, err := http.Get("http://" + settings.ListenMetrics + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(strings.Contains(string(text), "pollenscale_members"))
}

// TestListenersLeftOpen guards against ports left open by a daemon that cannot start.
func TestListenersLeftOpen(t *testing.T) {
	ports := []func(*sidecar.Settings) string{
		func(s *sidecar.Settings) string { return s.ListenCallers },
		func(s *sidecar.Settings) string { return s.ListenPeers },
		func(s *sidecar.Settings) string { return s.ListenReady },
		func(s *sidecar.Settings) string { return s.ListenControl },
		func(s *sidecar.Settings) string { return s.ListenAnnounce },
	}
	for _, taken := range ports {
		is := is.New(t)
		settings := newSettings()
		occupy(t, taken(&settings))
		s := sidecar.New(settings, platform.Protocol("absent"), sidecar.WithLog(slog.New(slog.DiscardHandler)))
		is.True(s.Run(t.Context()) != nil)
		for _, port := range ports {
			if port(&settings) != taken(&settings) {
				occupy(t, port(&settings))
			}
		}
		occupy(t, settings.ListenMetrics)
	}
}
