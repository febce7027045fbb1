// Package mutant supports mutation testing: it disables single mechanisms in test
// binaries, to show that a test fails without each of them.
//
// A mechanism declares a Switch as a package variable. The environment variable
// named by Variable turns one switch off, in test binaries only: in any other
// binary all switches stay on, whatever the environment contains.
package mutant

import (
	"os"
	"sort"
	"testing"
)

// Variable is the environment variable with the name of the disabled mechanism.
const Variable = "POLLENSCALE_MUTANT"

// Name is the stable name of a mechanism, which "make mutants" prints.
type Name string

// Switch enables a mechanism. It is on unless a test run has turned it off.
type Switch struct {
	off bool
}

var declared = map[Name]bool{}

// New declares a mechanism. It must be called during package initialisation.
func New(name Name) Switch {
	declared[name] = true
	return Switch{off: testing.Testing() && os.Getenv(Variable) == string(name)}
}

// Off reports whether the mechanism is disabled.
func (s Switch) Off() bool {
	return s.off
}

// Names returns the mechanisms declared by all linked packages, sorted.
func Names() []Name {
	names := make([]Name, 0, len(declared))
	for name := range declared {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
