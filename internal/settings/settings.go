// Package settings reads and checks the settings of a daemon.
//
// Settings are a JSON object with field names in Pascal case. They are checked
// completely before the daemon listens on any port. Errors name the field, its
// value and the allowed values.
package settings

import (
	"os"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/internal/logs"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon           fleet.DaemonID         `validate:"required,max=64,name"`
	Region           fleet.Region           `validate:"required,name"`
	AvailabilityZone fleet.AvailabilityZone `validate:"required,name"`
	// CallerAddress is where callers send requests, PeerAddress where other
	// daemons do.
	CallerAddress   string `validate:"required,address"`
	PeerAddress     string `validate:"required,address"`
	GossipAddress   string `validate:"omitempty,address"`
	OperatorAddress string `validate:"omitempty,address"`
	Target          Target `validate:"required"`
	// Seeds are the peer addresses of daemons through which this one joins the
	// fleet.
	Seeds []string `validate:"unique,dive,address"`
	// PlatformAddress serves the table service under /tables and the object
	// store under /objects. Without it the daemon owns no idempotency keys,
	// accepts no uploads and receives configurations only from its peers.
	PlatformAddress string `validate:"omitempty,address"`
	// TraceEndpoint is the URL to which spans are exported over OTLP; if empty,
	// tracing is off. TraceShare is the fraction of calls that are traced.
	TraceEndpoint string  `validate:"omitempty,http_url"`
	TraceShare    float64 `validate:"min=0,max=1"`
	// Memory is that of the process. What clients occupy is limited to parts of it.
	Memory fleet.Bytes `validate:"min=33554432"`
	// Policy is the configuration that applies until a published one is known.
	Policy *policy.Set
	// Drain is how long a shutdown waits for callers to leave before it closes
	// connections.
	Drain policy.Milliseconds `validate:"min=0,max=600000"`
	// Stop is how long requests in progress may take to complete after that.
	Stop     policy.Milliseconds `validate:"min=0,max=3600000"`
	LogLevel string              `validate:"omitempty,oneof=Debug Info Warn Error"`
	// LogFormat is Text or Json.
	LogFormat logs.Format `validate:"omitempty,oneof=Text Json"`
}

// Target is the target beside the daemon.
type Target struct {
	Address    string        `validate:"required,address"`
	Service    fleet.Service `validate:"required,name"`
	Slots      fleet.Slots   `validate:"min=1,max=100000"`
	HealthPath string        `validate:"omitempty,startswith=/"`
}

// Defaults of fields that may be omitted.
const (
	defaultMemory     fleet.Bytes         = 64 << 20
	defaultDrain      policy.Milliseconds = 4000
	defaultStop       policy.Milliseconds = 60000
	defaultHealthPath                     = "/health"
	defaultLogLevel                       = "Info"
)

// Read reads and checks the settings in the named file.
func Read(name string) (*Settings, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", name)
}

// Parse decodes and checks the settings in data and fills in defaults.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{Memory: defaultMemory, Drain: defaultDrain, Stop: defaultStop, LogLevel: defaultLogLevel, LogFormat: logs.Text}
	s.Target.HealthPath = defaultHealthPath
	if err := decode(data, s); err != nil {
		return nil, err
	}
	if err := check(s); err != nil {
		return nil, err
	}
	return s, nil
}
