package sidecar

import (
	"net/http"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/localtarget"
	"pollenscale/core/route"
	"pollenscale/core/store"
)

// Protocol translates the messages that the daemon exchanges with callers, targets and
// operators. Each function translates one message.
type Protocol struct {
	// ReadyPath is the path at which the platform checks whether the daemon accepts
	// clients.
	ReadyPath    string
	ReadRequest  func(http.Header, time.Time) exchange.Request
	WriteRequest func(http.Header, exchange.ForwardedRequest, time.Time)
	// RemoveKey removes the key and the name of an organisation from a request.
	RemoveKey  func(http.Header)
	ReadAnswer func(int, http.Header) exchange.Response
	// ReadTargetCall decodes a call that the target makes to ListenControl.
	ReadTargetCall func(*http.Request, []byte, time.Time) (TargetCall, error)
	DecodeConfig   func([]byte) (*route.Config, error)
	// ConfigTable and ConfigKey identify the row that holds the operator's
	// configuration.
	ConfigTable store.Table
	ConfigKey   string
	// EvacuationPrefix is the prefix of the keys in ConfigTable whose remainder is an evacuated
	// availability zone.
	EvacuationPrefix string
	// ReadSettings reads the current settings.
	ReadSettings func() (Settings, error)
}

// TargetCall is a call of the target to its daemon: a heartbeat, or the notice that it
// leaves.
type TargetCall struct {
	Heartbeat *localtarget.Heartbeat
	// Leaving is the target that leaves, if Heartbeat is nil.
	Leaving exchange.TargetID
	// Born is the start time of the leaving incarnation, 0 if the call does not contain
	// it.
	Born int64
}

// target returns the target that made the call.
func (c *TargetCall) target() exchange.TargetID {
	if c.Heartbeat != nil {
		return c.Heartbeat.ID
	}
	return c.Leaving
}
