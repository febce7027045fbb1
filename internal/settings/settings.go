// Package settings reads and checks the settings of a daemon.
//
// Settings are JSON with fields in Pascal case. They are checked completely
// before the daemon listens on any port. Each error names the field, its value
// and what is allowed.
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
	// CallerAddress takes requests of callers, PeerAddress those of daemons.
	CallerAddress   string `validate:"required,address"`
	PeerAddress     string `validate:"required,address"`
	GossipAddress   string `validate:"omitempty,address"`
	OperatorAddress string `validate:"omitempty,address"`
	Target          Target `validate:"required"`
	// Seeds are peer addresses of daemons through which this one joins the fleet.
	Seeds []string `validate:"unique,dive,address"`
	// PlatformAddress serves the table service below /tables and the object
	// store below /objects. Without it the daemon owns no keys, takes no uploads
	// and learns configurations from its peers only.
	PlatformAddress string `validate:"omitempty,address"`
	// TraceEndpoint is the URL to which spans are exported over OTLP, and
	// TraceShare the share of calls that are traced. Empty turns tracing off.
	TraceEndpoint string  `validate:"omitempty,http_url"`
	TraceShare    float64 `validate:"min=0,max=1"`
	// Policy is the configuration in force until a published one is known.
	Policy *policy.Set
	// Drain is the time for callers to leave before connections are closed.
	Drain policy.Milliseconds `validate:"min=0,max=600000"`
	// Stop is the time for work under way to complete after that.
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

// The defaults of fields that may be omitted.
const (
	defaultDrain      policy.Milliseconds = 4000
	defaultStop       policy.Milliseconds = 60000
	defaultHealthPath                     = "/health"
	defaultLogLevel                       = "Info"
)

// Read reads and checks the settings in the named file.
func Read(name string) (*Settings, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", name)
}

// Parse checks the settings in data.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{Drain: defaultDrain, Stop: defaultStop, LogLevel: defaultLogLevel, LogFormat: logs.Text}
	s.Target.HealthPath = defaultHealthPath
	if err := decode(data, s); err != nil {
		return nil, err
	}
	if err := check(s); err != nil {
		return nil, err
	}
	return s, nil
}
