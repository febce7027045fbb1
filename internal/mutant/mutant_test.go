package mutant_test

import (
	"context"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	_ "pollenscale/core/idempotency"
	_ "pollenscale/core/lease"
	_ "pollenscale/core/poison"
	_ "pollenscale/core/upload"
	"pollenscale/internal/mutant"
	_ "pollenscale/internal/sidecar"

	"golang.org/x/sync/errgroup"
)

// maxProcesses bounds the concurrent test processes, to leave processor time to
// other users of the machine.
const maxProcesses = 2

var (
	failed   = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)
	started  = regexp.MustCompile(`(?m)^=== RUN\s+(\S+)`)
	panicked = regexp.MustCompile(`(?m)^panic: (invariant \S+)?`)
)

// packagePaths are the import paths of packages with mechanisms outside core.
var packagePaths = map[string]string{
	"http1":   "pollenscale/io/http1",
	"sidecar": "pollenscale/internal/sidecar",
}

// randomised are the packages that the randomised run tests together.
var randomised = []string{"attempt", "idempotency", "lease", "poison", "upload"}

// TestMutants guards against mechanisms that no test covers: it disables each
// one, runs the tests of its package and the randomised run, and prints the tests
// that fail. Run it with "make mutants"; it takes a few minutes.
func TestMutants(t *testing.T) {
	if os.Getenv("POLLENSCALE_MUTANTS") == "" {
		t.Skip("runs the tests once for each mechanism; use make mutants")
	}
	names := mutant.Names()
	focused := make([][]string, len(names))
	random := make([]string, len(names))
	var group errgroup.Group
	group.SetLimit(maxProcesses)
	for i, name := range names {
		group.Go(func() error {
			pkg, _, _ := strings.Cut(string(name), "/")
			path, ok := packagePaths[pkg]
			if !ok {
				path = "pollenscale/core/" + pkg
			}
			focused[i] = failingTests(t, name, path)
			random[i] = "no"
			if slices.Contains(randomised, pkg) && len(failingTests(t, name, "pollenscale/internal/prove")) > 0 {
				random[i] = "yes"
			}
			return nil
		})
	}
	_ = group.Wait()
	for i, name := range names {
		t.Logf("%-40s randomised run fails: %-3s  focused: %s", name, random[i], strings.Join(focused[i], ", "))
		if len(focused[i]) == 0 {
			t.Errorf("no focused test fails without %s", name)
		}
	}
}

// failingTests runs the tests of a package with a mechanism disabled and returns
// the innermost tests that fail.
func failingTests(t *testing.T, name mutant.Name, pkg string) []string {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	arguments := []string{"test", "-count=1", "-v", "-timeout=2m", pkg}
	switch {
	case strings.HasSuffix(pkg, "/prove"):
		arguments = append(arguments, "-args", "-runs", "40")
	case usesRapid(t, pkg):
		arguments = append(arguments, "-args", "-rapid.nofailfile", "-rapid.shrinktime=1s")
	}
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Env = append(os.Environ(), mutant.Variable+"="+string(name), "POLLENSCALE_MUTANTS=")
	output, err := command.CombinedOutput()
	if err == nil {
		return nil
	}
	return parseFailures(t, name, pkg, string(output))
}

// usesRapid reports whether the tests of a package import rapid and so accept
// its flags.
func usesRapid(t *testing.T, pkg string) bool {
	list, err := exec.CommandContext(t.Context(), "go", "list", "-f", "{{.TestImports}} {{.XTestImports}}", pkg).Output()
	if err != nil {
		t.Errorf("%s: %v", pkg, err)
	}
	return strings.Contains(string(list), "pgregory.net/rapid")
}

// parseFailures returns the failed tests in the output of go test. A panic, such
// as one by a violated invariant, ends the process, so that the failed test is
// the last one started.
func parseFailures(t *testing.T, name mutant.Name, pkg, output string) []string {
	if cause := panicked.FindStringSubmatch(output); cause != nil {
		all := started.FindAllStringSubmatch(output, -1)
		return []string{strings.TrimSpace(all[len(all)-1][1] + " " + cause[1])}
	}
	var tests []string
	for _, match := range failed.FindAllStringSubmatch(output, -1) {
		tests = append(tests, match[1])
	}
	tests = slices.DeleteFunc(tests, func(a string) bool {
		return slices.ContainsFunc(tests, func(b string) bool { return strings.HasPrefix(b, a+"/") })
	})
	if len(tests) == 0 {
		t.Errorf("%s: %s ends without a failed test: %s", name, pkg, output)
	}
	return tests
}
