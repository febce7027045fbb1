package idempotency

import (
	"net/url"
	"strconv"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/lease"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Slots is the number of key slots of a service. It is not a setting: another
// number would move keys to slots whose owner never saw them.
const Slots = 4

// maxKeyBytes bounds the value of a key.
const maxKeyBytes = 255

// Key is an idempotency key. Organisations choose keys independently, so that
// equal values of two organisations are different keys.
type Key struct {
	Organisation fleet.Organisation
	Value        string
}

// Slot returns the key slot of k.
func (k Key) Slot() int {
	return int(xxhash.Sum64String(k.Value) % Slots)
}

// row returns the key of the row that records k.
func (k Key) row(slot lease.Name) string {
	return string(slot) + "/" + url.PathEscape(string(k.Organisation)) + "/" + url.PathEscape(k.Value)
}

// stamp returns the time in a UUIDv7 key, in whole milliseconds.
func (k Key) stamp() (time.Time, bool) {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || len(k.Value) != 36 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// LeaseName returns the name of the lease of a key slot.
func LeaseName(service fleet.Service, slot int) lease.Name {
	return lease.Name(string(service) + "/" + strconv.Itoa(slot))
}

// Fingerprint identifies a request under its key, so that the same key with
// another request is noticed.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The body is its first
// part, as much as the caller of this function buffers before it dispatches.
func FingerprintOf(method, uri string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, uri} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	_, _ = d.Write(body) // never fails
	return Fingerprint(d.Sum64())
}
