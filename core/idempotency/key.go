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

// KeySlots is the number of key slots of a service. It is not configurable: with
// another number, keys would map to slots whose owner has never seen them.
const KeySlots = 4

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 255

// Key is an idempotency key. Organisations choose keys independently, so equal
// values from two organisations are different keys.
type Key struct {
	Organisation fleet.Organisation
	Value        string
}

// Slot returns the key slot of k.
func (k Key) Slot() int {
	return int(xxhash.Sum64String(k.Value) % KeySlots)
}

// row returns the key of the table row that records k.
func (k Key) row(slot lease.Name) string {
	return string(slot) + "/" + url.PathEscape(string(k.Organisation)) + "/" + url.PathEscape(k.Value)
}

// stamp returns the timestamp of a UUIDv7 key, which has a resolution of one
// millisecond. It returns false if the key is not a UUIDv7.
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

// Fingerprint is a hash of a request. It detects the reuse of a key for a
// different request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The body argument is the
// leading part of the body that is buffered before the request is dispatched.
func FingerprintOf(method, uri string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, uri} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	_, _ = d.Write(body) // never fails
	return Fingerprint(d.Sum64())
}
