// Command rig-3 plays the cases of the third review: it starts the daemons of a small deployment as
// separate processes on loopback addresses, with stand-ins for the store, the targets and the
// clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"os"

	"github.com/cockroachdb/errors"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios are the cases by name. Each reports whether the rule was broken.
var scenarios = map[string]func(r *record, trouble bool) (broken bool, err error){
	"nameless": playNameless,
	"smuggle":  playSmuggle,
}

func main() { os.Exit(run(os.Args)) }

// run plays the scenario that the first argument names and writes to the file that the second one
// names.
func run(args []string) int {
	if len(args) != 3 || scenarios[args[1]] == nil {
		return exitFailed
	}
	out, err := os.Create(args[2]) //nolint:gosec // the script of the case names the file
	if err != nil {
		return exitFailed
	}
	rec := newRecord(out)
	broken, err := scenarios[args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		code = exitFailed
	case broken:
		rec.note("the rule was broken")
		code = exitBroken
	default:
		rec.note("the rule held")
	}
	if errors.CombineErrors(out.Sync(), out.Close()) != nil {
		return exitFailed
	}
	return code
}
