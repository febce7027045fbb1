// Command rig-2 plays the cases of the second review that are scripts.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each gets the path of its record.
var cases = map[string]func(*fleet) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](f)
	f.stop()
	switch {
	case err == nil:
		f.record.printf("the rule held")
		fmt.Println("held")
	case errors.Is(err, errBroken):
		f.record.printf("%v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		f.record.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
}
