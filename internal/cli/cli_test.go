package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"pollenscale/internal/cli"
	"pollenscale/io/operator"
	"pollenscale/standin/memstore"
	"pollenscale/standin/platform"

	"github.com/matryer/is"
)

// step is one command of a script.
type step struct {
	// Files maps paths to contents, written before the command runs.
	Files map[string]string
	// Platform replaces the URL of the platform for this and all later steps.
	Platform *string
	Args     string
	Code     cli.ExitCode
	// Stdout and Stderr are patterns that the output must match; it must not
	// match NotStdout.
	Stdout, Stderr, NotStdout string
}

// TestScripts guards against changes of exit codes or output that break
// operators' scripts, and against a publish that takes effect before it has
// printed its plan. Each script runs with its own platform, daemon and copy of
// Puente's declarations.
func TestScripts(t *testing.T) {
	deploy, err := filepath.Abs("../../deploy")
	is.New(t).NoErr(err)
	scripts, err := filepath.Abs("testdata/scripts")
	is.New(t).NoErr(err)
	status := readStatus(t)
	files, err := os.ReadDir(scripts)
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(file.Name(), func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(scripts, file.Name()))
			is.New(t).NoErr(err)
			var steps []step
			is.New(t).NoErr(json.Unmarshal(data, &steps))
			store := httptest.NewServer(platform.New(memstore.New()))
			defer store.Close()
			daemon := httptest.NewServer(operator.Endpoints{Status: func() operator.Status { return status }}.Handler())
			defer daemon.Close()
			t.Setenv("POLLENSCALE_PLATFORM", store.URL)
			t.Chdir(t.TempDir())
			is.New(t).NoErr(os.CopyFS("declarations", os.DirFS(filepath.Join(deploy, "puente/config"))))
			variables := strings.NewReplacer("$DEPLOY", deploy, "$DAEMON", daemon.URL)
			for _, s := range steps {
				runStep(t, s, variables)
			}
		})
	}
}

func runStep(t *testing.T, s step, variables *strings.Replacer) {
	t.Helper()
	is := is.New(t)
	for name, body := range s.Files {
		is.NoErr(os.MkdirAll(filepath.Dir(name), 0o755))
		is.NoErr(os.WriteFile(name, []byte(body), 0o600))
	}
	if s.Platform != nil {
		t.Setenv("POLLENSCALE_PLATFORM", *s.Platform)
	}
	var stdout, stderr bytes.Buffer
	code := cli.Run(strings.Split(variables.Replace(s.Args), " "), &stdout, &stderr)
	if code != s.Code {
		t.Errorf("%s: exit code %d, want %d\n%s%s", s.Args, code, s.Code, &stdout, &stderr)
	}
	match := func(pattern, text string, want bool) {
		if pattern != "" && regexp.MustCompile("(?sm)"+pattern).MatchString(text) != want {
			t.Errorf("%s: %q matches the output: want %t:\n%s", s.Args, pattern, want, text)
		}
	}
	match(s.Stdout, stdout.String(), true)
	match(s.Stderr, stderr.String(), true)
	match(s.NotStdout, stdout.String(), false)
}

func readStatus(t *testing.T) (s operator.Status) {
	t.Helper()
	data, err := os.ReadFile("testdata/status.json")
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, &s))
	return s
}
