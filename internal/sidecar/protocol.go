package sidecar

import (
	"net/http"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/localtarget"
	"pollenscale/core/route"
	"pollenscale/core/store"
)

// Protocol is how callers, targets and operators are spoken to. Each field
// translates one message.
type Protocol struct {
	// ReadyPath is where the platform asks whether the daemon takes clients.
	ReadyPath    string
	ReadRequest  func(http.Header, time.Time) exchange.Request
	WriteRequest func(http.Header, exchange.Forward, time.Time)
	ReadAnswer   func(int, http.Header) exchange.Answer
	// ReadTargetCall decodes a call of the target at the control address.
	ReadTargetCall func(*http.Request, []byte, time.Time) (TargetCall, error)
	DecodeConfig   func([]byte) (*route.Config, error)
	// ConfigTable and ConfigKey name the row of the operator's configuration.
	ConfigTable store.Table
	ConfigKey   string
	// ReadSettings reads the settings again.
	ReadSettings func() (Settings, error)
}

// TargetCall is what the target says of itself: a heartbeat, or that it leaves.
type TargetCall struct {
	Heartbeat *localtarget.Heartbeat
	Leaving   exchange.TargetID
	// Born is the start of the leaving incarnation, 0 if it does not say.
	Born int64
}
