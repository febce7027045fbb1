// Package mutant switches single mechanisms off in test binaries, to show that
// a test fails without them.
//
// A mechanism declares a Switch as a package variable. The environment variable
// named by Variable turns one switch off, in test binaries only: in any other
// binary every switch stays on, whatever the environment says.
package mutant

import (
	"os"
	"sort"
	"testing"
)

// Variable is the environment variable that names the mechanism to switch off.
const Variable = "POLLENSCALE_MUTANT"

// Name is the stable name of a mechanism, as "make mutants" prints it.
type Name string

// Switch is on unless a test run has turned it off.
type Switch struct {
	off bool
}

var known = map[Name]bool{}

// New declares a mechanism. It is called in the initialisation of a package.
func New(name Name) Switch {
	known[name] = true
	return Switch{off: testing.Testing() && os.Getenv(Variable) == string(name)}
}

// Off reports whether the mechanism is switched off.
func (s Switch) Off() bool {
	return s.off
}

// Names returns the mechanisms that the linked packages have declared, sorted.
func Names() []Name {
	names := make([]Name, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
