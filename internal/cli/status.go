package cli

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"pollenscale/io/operator"
)

const (
	statusTimeout  = 5 * time.Second
	maxStatusBytes = 16 << 20
	// maxStatusRequests bounds the number of daemons queried concurrently.
	maxStatusRequests = 16
)

// fleetStatus is the output of the status command.
type fleetStatus struct {
	// HighestVersion is the highest configuration version known to any daemon.
	HighestVersion uint64
	Daemons        []daemonStatus
	// Lagging lists the daemons with an older version in force.
	Lagging []string
	Answers []operator.Status
	// Failed lists the queried daemons that did not answer.
	Failed []failedDaemon
}

type daemonStatus struct {
	Daemon           string
	AvailabilityZone string
	Service          string
	State            string
	Health           string
	ConfigVersion    uint64
}

type failedDaemon struct {
	Address string
	Error   string
}

func newStatus() *cobra.Command {
	var daemons []string
	timeout := statusTimeout
	c := &cobra.Command{
		Use:   "status --daemon ADDRESS",
		Short: "Show the daemons, their targets and the version in force in each",
		Long: `Queries daemons at their operator address and shows them and all daemons that
they know: state of the target, health, and the configuration version in force.
The exit code is 1 if a queried daemon does not answer.`,
		Example: "  pollenscale status --daemon 10.0.1.7:7103\n  pollenscale status --daemon 10.0.1.7:7103 --daemon 10.0.2.9:7103 --output json",
		Args:    cobra.NoArgs,
	}
	c.Flags().StringSliceVar(&daemons, "daemon", nil, "operator address of a daemon to query; may be repeated")
	c.Flags().DurationVar(&timeout, "timeout", timeout, "timeout of all queries together")
	output := outputFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(daemons) == 0 {
			return errors.New("--daemon must name the operator address of at least one daemon")
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return runStatus(ctx, c.OutOrStdout(), daemons, *output)
	}
	return c
}

func runStatus(ctx context.Context, w io.Writer, addresses []string, output format) error {
	result := queryDaemons(ctx, addresses)
	if err := output.print(w, result, func(w io.Writer) { writeStatus(w, result) }); err != nil {
		return asFailure(err)
	}
	if len(result.Failed) > 0 {
		return asFailure(errors.Newf("%d of %d daemons did not answer", len(result.Failed), len(addresses)))
	}
	return nil
}

func queryDaemons(ctx context.Context, addresses []string) *fleetStatus {
	answers := make([]operator.Status, len(addresses))
	failures := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxStatusRequests)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i], failures[i] = queryDaemon(ctx, address)
			return nil
		})
	}
	_ = group.Wait() // errors are in failures, one for each address
	result := &fleetStatus{}
	for i := range addresses {
		if failures[i] != nil {
			result.Failed = append(result.Failed, failedDaemon{addresses[i], failures[i].Error()})
			continue
		}
		result.Answers = append(result.Answers, answers[i])
	}
	result.merge()
	return result
}

func queryDaemon(ctx context.Context, address string) (operator.Status, error) {
	var status operator.Status
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+"/status", http.NoBody)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close() //nolint:errcheck // closing a body that was only read
	if response.StatusCode != http.StatusOK {
		return status, errors.Newf("status %d", response.StatusCode)
	}
	return status, json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
}

// merge combines the answers into one list of daemons. A daemon's own answer
// takes precedence over what others report of it; among their reports, the one
// with the highest configuration version does.
func (s *fleetStatus) merge() {
	seen := map[string]daemonStatus{}
	for _, a := range s.Answers {
		for _, m := range a.Members {
			known, ok := seen[m.Daemon]
			if !ok || known.ConfigVersion < m.ConfigVersion {
				seen[m.Daemon] = daemonStatus{m.Daemon, m.AvailabilityZone, m.Service, m.State, m.Health, m.ConfigVersion}
			}
		}
	}
	for _, a := range s.Answers {
		seen[a.Daemon] = daemonStatus{a.Daemon, a.AvailabilityZone, a.Service, a.State, "Alive", a.ConfigVersion}
		s.HighestVersion = max(s.HighestVersion, a.ConfigVersion+a.ConfigBehind)
	}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		s.Daemons = append(s.Daemons, seen[name])
		s.HighestVersion = max(s.HighestVersion, seen[name].ConfigVersion)
	}
	for _, d := range s.Daemons {
		if d.ConfigVersion < s.HighestVersion {
			s.Lagging = append(s.Lagging, d.Daemon)
		}
	}
}

func writeStatus(w io.Writer, s *fleetStatus) {
	writeRow(w, "DAEMON", "ZONE", "SERVICE", "STATE", "HEALTH", "CONFIG", "LAG")
	for _, d := range s.Daemons {
		lag := ""
		if behind := s.HighestVersion - d.ConfigVersion; behind > 0 {
			lag = "-" + strconv.FormatUint(behind, 10)
		}
		writeRow(w, d.Daemon, d.AvailabilityZone, d.Service, d.State, d.Health, d.ConfigVersion, lag)
	}
	for _, a := range s.Answers {
		for _, p := range a.Parked {
			writeRow(w, "parked upload", p.ID, p.Service, p.ParkedAt.UTC().Format(time.RFC3339), p.Reason)
		}
	}
	for _, f := range s.Failed {
		writeRow(w, f.Address, "no answer: "+f.Error)
	}
}
