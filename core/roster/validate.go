package roster

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxSlots is the largest number of slots in a valid record.
	maxSlots = 1 << 16
	// MaxClockStep is the largest step of a system clock that is considered possible. An
	// incarnation is the time at which its process started.
	MaxClockStep = 366 * 24 * time.Hour
)

// Validate returns why the record cannot have been published by a daemon, nil if it can.
// An invalid record, of another writer, must not replace that of a daemon.
func (r *Record) Validate(now time.Time) error {
	if r.Daemon == "" {
		return errors.New("record without a daemon")
	}
	for _, address := range []string{r.PeerAddress, r.AnnounceAddress} {
		if address == "" {
			continue // the daemon cannot be reached that way
		}
		if err := ValidateAddress(address); err != nil {
			return err
		}
	}
	switch {
	case r.Slots > maxSlots:
		return errors.Newf("record with %d slots", r.Slots)
	case r.State != "" && !r.State.Valid(), r.TargetState != "" && !r.TargetState.Valid():
		return errors.Newf("record with the states %q and %q", r.State, r.TargetState)
	case uint64(r.Incarnation) > uint64(now.Add(MaxClockStep).UnixNano()):
		return errors.Newf("record of incarnation %d, which is in the future", r.Incarnation)
	}
	return r.Departures.Validate()
}

// ValidateAddress returns why the text is not the address of a TCP or UDP port over IPv4,
// nil if it is.
func ValidateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	if !address.Addr().Is4() || address.Port() == 0 {
		return errors.Newf("%q is not an IPv4 address with a port", text)
	}
	return nil
}
