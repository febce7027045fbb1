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

// step is one command of a script, after its files are written.
type step struct {
	// Files are written first, by path.
	Files map[string]string
	// Platform replaces the URL of the platform from here on.
	Platform *string
	Args     string
	Code     cli.Code
	// Stdout and Stderr must match; NotStdout must not.
	Stdout, Stderr, NotStdout string
}

// TestScripts guards against commands whose exit code or output changes under
// operators' scripts, and against a publish that acts before it says what it
// does. Each script has a platform, a daemon and a copy of Puente's
// declarations of its own.
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
			is.New(t).NoErr(os.CopyFS("mine", os.DirFS(filepath.Join(deploy, "puente/config"))))
			names := strings.NewReplacer("$DEPLOY", deploy, "$DAEMON", daemon.URL)
			for _, s := range steps {
				runStep(t, s, names)
			}
		})
	}
}

func runStep(t *testing.T, s step, names *strings.Replacer) {
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
	code := cli.Run(strings.Split(names.Replace(s.Args), " "), &stdout, &stderr)
	if code != s.Code {
		t.Errorf("%s: exit code %d, want %d\n%s%s", s.Args, code, s.Code, &stdout, &stderr)
	}
	match := func(pattern, text string, want bool) {
		if pattern != "" && regexp.MustCompile("(?sm)"+pattern).MatchString(text) != want {
			t.Errorf("%s: match of %q must be %t:\n%s", s.Args, pattern, want, text)
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
