package sidecar_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pollenscale/platform/rowstore"

	"github.com/matryer/is"
)

// oddEntry is a value that another writer leaves in a row.
type oddEntry struct {
	Name string
	// Value is the value, in which DAEMON stands for the key of the row. Repeat is put
	// before it as often as Times says.
	Value, Repeat string
	Times         int
}

func loadOddEntries(t *testing.T) []oddEntry {
	t.Helper()
	data, err := os.ReadFile("testdata/oddentries.json")
	is.New(t).NoErr(err)
	var entries []oddEntry
	is.New(t).NoErr(json.Unmarshal(data, &entries))
	return entries
}

func (e oddEntry) bytes(key string) []byte {
	return []byte(strings.Repeat(e.Repeat, e.Times) + strings.ReplaceAll(e.Value, "DAEMON", key))
}

// members returns the number of daemons that the daemon knows, -1 if it does not answer.
func (d *daemon) members() int {
	resp, err := http.Get("http://" + d.settings.ListenMetrics + "/metrics")
	if err != nil {
		return -1
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Body.Close() != nil {
		return -1
	}
	for line := range strings.Lines(string(body)) {
		var n int
		if _, err := fmt.Sscanf(line, "pollenscale_members %d", &n); err == nil {
			return n
		}
	}
	return -1
}

// TestOddEntries guards against an entry of another writer that ends a daemon, that hides
// the entries of other daemons, or that counts as a daemon. The odd entries stand before
// and behind those of the daemons, and there are more of them than one page holds.
func TestOddEntries(t *testing.T) {
	rows := rowstore.New()
	putConfig(rows, 1)
	entries := loadOddEntries(t)
	for i, e := range entries {
		for _, prefix := range []string{"!", "127.100.0.0:1/", "z"} {
			key := fmt.Sprintf("%s%d", prefix, i)
			rows.Put("members", key, e.bytes(key))
			rows.Put("op", key, e.bytes(key))
		}
	}
	for i := range 40 {
		rows.Put("members", fmt.Sprintf("!large%d", i), []byte(strings.Repeat("[", 64<<10)))
	}
	daemons := startDaemons(t, rows, 3)
	for _, d := range daemons {
		within(t, 5*time.Second, "aware of all daemons", func() bool { return d.members() == len(daemons) })
	}
	for i, e := range entries {
		rows.Put("op", "odd", e.bytes("odd"))
		putConfig(rows, i+2)
		for _, d := range daemons {
			within(t, applyWithin, "in force behind "+e.Name, func() bool { return d.inForce(i + 2) })
		}
	}
	joined := startDaemons(t, rows, 1)[0]
	within(t, 5*time.Second, "aware of all daemons", func() bool { return joined.members() == len(daemons)+1 })
	for _, d := range daemons {
		within(t, 5*time.Second, "aware of the new daemon", func() bool { return d.members() == len(daemons)+1 })
	}
}
