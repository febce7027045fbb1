// Package script runs test cases that are written as text files, one step a
// line.
//
// A step is a command with arguments, and optionally "=>" and the expected
// result. Lines that start with # are comments; the first one says which
// failure the case guards against.
package script

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Command performs a step and returns its result.
type Command func(args []string) string

// Run runs each file that matches the pattern as a subtest. The function in
// each is called inside the subtest and has to call its argument with the
// commands.
func Run(t *testing.T, pattern string, in func(t *testing.T, play func(map[string]Command))) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts match %s: %v", pattern, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file) //nolint:gosec // the pattern is part of the test
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		t.Run(name, func(t *testing.T) {
			in(t, func(commands map[string]Command) { play(t, file, string(data), commands) })
		})
	}
}

func play(t *testing.T, file, text string, commands map[string]Command) {
	t.Helper()
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		step, want, expects := strings.Cut(line, "=>")
		words := strings.Fields(step)
		command, ok := commands[words[0]]
		if !ok {
			t.Fatalf("%s:%d: unknown command %q", file, i+1, words[0])
		}
		if got := command(words[1:]); expects && got != strings.TrimSpace(want) {
			t.Errorf("%s:%d: %s\n got: %s\nwant: %s", file, i+1, strings.TrimSpace(step), got, strings.TrimSpace(want))
		}
	}
}

// Main runs the tests of a package with a fixed seed for rapid, unless one is
// given, so that an ordinary test run has the same verdict each time.
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
