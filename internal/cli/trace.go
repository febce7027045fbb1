package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLogLine bounds the bytes of one line in a log file.
const maxLogLine = 1 << 20

// event is one log line about a request.
type event struct {
	At      time.Time
	Source  string
	Message string
	// Fields are the remaining fields as name=value, sorted.
	Fields []string
}

func newTrace() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Print the log lines of one request from the log files of several daemons, by time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var events []event
			for _, name := range args[1:] {
				found, err := readEvents(name, args[0])
				if err != nil {
					return err
				}
				events = append(events, found...)
			}
			if len(events) == 0 {
				return errors.Newf("no log line found for request %s", args[0])
			}
			slices.SortStableFunc(events, func(a, b event) int { return a.At.Compare(b.At) })
			return writeEvents(c.OutOrStdout(), events, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line")
	return c
}

func readEvents(name, id string) ([]event, error) {
	file, err := os.Open(name) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer file.Close() //nolint:errcheck // closing a file that was only read
	var events []event
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if e, ok := parseEvent(lines.Bytes(), id); ok {
			e.Source = cmp.Or(e.Source, name)
			events = append(events, e)
		}
	}
	return events, errors.Wrapf(lines.Err(), "log file %s", name)
}

// parseEvent decodes a log line and reports whether it belongs to the request.
// Log collectors may put words before the JSON object; the last of them names
// the source.
func parseEvent(line []byte, id string) (event, bool) {
	at := bytes.IndexByte(line, '{')
	if at < 0 || !bytes.Contains(line, []byte(id)) {
		return event{}, false
	}
	var fields map[string]any
	if json.Unmarshal(line[at:], &fields) != nil || fields["request"] != id {
		return event{}, false
	}
	e := event{}
	if words := strings.Fields(string(line[:at])); len(words) > 0 {
		e.Source = words[len(words)-1]
	}
	text, _ := fields["time"].(string)
	e.At, _ = time.Parse(time.RFC3339Nano, text)
	e.Message, _ = fields["msg"].(string)
	for name, value := range fields {
		switch name {
		case "time", "msg", "level", "request":
		default:
			e.Fields = append(e.Fields, fmt.Sprintf("%s=%v", name, formatDuration(name, value)))
		}
	}
	slices.Sort(e.Fields)
	return e, true
}

// formatDuration makes fields that hold nanoseconds readable. Other fields and
// values within 1000 ns of zero stay as they are.
func formatDuration(name string, value any) any {
	switch name {
	case "waited", "left", "work", "took", "queued", "wait":
		if ns, ok := value.(float64); ok && (ns > 1000 || ns < -1000) {
			return time.Duration(ns).Round(100 * time.Microsecond)
		}
	}
	return value
}

func writeEvents(w io.Writer, events []event, asJSON bool) error {
	for _, e := range events {
		if asJSON {
			if err := json.NewEncoder(w).Encode(e); err != nil {
				return err
			}
			continue
		}
		after := e.At.Sub(events[0].At).Round(100 * time.Microsecond)
		if _, err := fmt.Fprintf(w, "%10s  %-22s %-28s %s\n", after, e.Source, e.Message, strings.Join(e.Fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
