// Package script runs test scripts, which are text files with one step per line.
//
// A step is a command with arguments, optionally followed by "=>" and the
// expected result. Lines that start with # are comments; the first one states
// the failure that the script guards against.
package script

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Command executes a step and returns its result.
type Command func(args []string) string

// Run runs each script whose file name matches the pattern as a subtest. It
// calls test inside the subtest; test prepares the commands and passes them to
// run, which executes the script.
func Run(t *testing.T, pattern string, test func(t *testing.T, run func(map[string]Command))) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts match %s: %v", pattern, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file) //nolint:gosec // the pattern comes from the test
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		t.Run(name, func(t *testing.T) {
			test(t, func(commands map[string]Command) { runSteps(t, file, string(data), commands) })
		})
	}
}

func runSteps(t *testing.T, file, text string, commands map[string]Command) {
	t.Helper()
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		step, want, hasWant := strings.Cut(line, "=>")
		words := strings.Fields(step)
		command, ok := commands[words[0]]
		if !ok {
			t.Fatalf("%s:%d: unknown command %q", file, i+1, words[0])
		}
		if got := command(words[1:]); hasWant && got != strings.TrimSpace(want) {
			t.Errorf("%s:%d: %s\n got: %s\nwant: %s", file, i+1, strings.TrimSpace(step), got, strings.TrimSpace(want))
		}
	}
}

// Main runs the tests of a package. Unless the flags say otherwise, rapid gets a
// fixed seed and writes no failure files, so that test runs are reproducible.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
