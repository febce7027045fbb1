package load

import (
	"slices"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
)

// Kind is one kind of requests in a mix.
type Kind struct {
	Service fleet.Service
	Method  string
	// Path may contain {nonce}.
	Path    string
	Rank    fleet.Rank
	Timeout policy.Milliseconds
	// Keyed requests are not idempotent and carry a key.
	Keyed     bool
	BodyBytes int
	// Weight is relative to the other kinds.
	Weight float64
}

// Puente returns a mix of all ranks of Puente's services, limited to the named
// ones if there are any.
func Puente(services ...fleet.Service) []Kind {
	all := []Kind{
		{Service: "agenda", Method: "GET", Path: "/slots", Rank: "browse", Timeout: 3000, Weight: 35},
		{Service: "agenda", Method: "GET", Path: "/internal/slots", Rank: "lookup", Timeout: 250, Weight: 20},
		{Service: "reservas", Method: "POST", Path: "/reservas", Rank: "booking", Timeout: 1500, Keyed: true, BodyBytes: 512, Weight: 12},
		{Service: "reservas", Method: "GET", Path: "/internal/reservas", Rank: "lookup", Timeout: 250, Weight: 10},
		{Service: "reservas", Method: "GET", Path: "/reservas", Rank: "browse", Timeout: 3000, Weight: 8},
		{Service: "cobros", Method: "POST", Path: "/cobros", Rank: "booking", Timeout: 5000, Keyed: true, BodyBytes: 256, Weight: 5},
		{Service: "material", Method: "PUT", Path: "/uploads/{nonce}", Rank: "upload", Timeout: 30000, BodyBytes: 256 << 10, Weight: 5},
		{Service: "material", Method: "GET", Path: "/internal/material", Rank: "lookup", Timeout: 250, Weight: 5},
	}
	if len(services) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(k Kind) bool { return !slices.Contains(services, k.Service) })
}

// pick returns the kind at the fraction x of the weights.
func pick(kinds []Kind, x float64) Kind {
	total := 0.0
	for _, k := range kinds {
		total += k.Weight
	}
	x *= total
	for _, k := range kinds {
		if x < k.Weight {
			return k
		}
		x -= k.Weight
	}
	return kinds[len(kinds)-1]
}
