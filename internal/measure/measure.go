// Package measure runs the decision logic of the core packages in a
// discrete-event simulation and compares it with alternative policies.
//
// The result of a run depends only on its seed, except for the cost of a pick,
// which is measured in real time. Simulated targets have slots, heavy-tailed
// service times and a noisy neighbour; the admission queue in front of them is
// the production code.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// Seeds is the number of seeds that each case and policy runs with, from 1 up.
	Seeds = 5
	// Workers is the default number of concurrent runs.
	Workers = 4
)

// job measures one policy in one case.
type job struct {
	name   string
	policy string
	run    func(seed uint64) []Result
}

// jobs returns all cases and policies in the order of the report.
func jobs() []job {
	var list []job
	list = append(list, choiceJobs()...)
	list = append(list, probeJobs()...)
	list = append(list, floodJobs()...)
	list = append(list, fleetFloodJobs()...)
	list = append(list, otherJobs()...)
	return list
}

func choiceJobs() []job {
	var list []job
	for _, c := range choiceCases() {
		for _, b := range balancers() {
			list = append(list, job{c.name(), b.name, func(s uint64) []Result { return c.run(b, s) }})
		}
	}
	for _, known := range pickSizes() {
		name := fmt.Sprintf("%d known targets", known)
		list = append(list, job{pickCase, name, func(s uint64) []Result { return measurePick(name, known, s) }})
	}
	return list
}

func probeJobs() []job {
	var list []job
	for _, name := range []string{ownPolicy, "pooled probing"} {
		for _, share := range probeRates() {
			if share > 0 || name == ownPolicy {
				list = append(list, job{probeCase, probeName(name, share), func(s uint64) []Result { return measureProbes(name, share, s) }})
			}
		}
	}
	return list
}

func floodJobs() []job {
	var list []job
	for _, flooding := range []int{len(floodClasses()) - 1, 0} {
		for _, p := range admissions() {
			list = append(list, job{floodName(flooding), p.name, func(s uint64) []Result { return measureFlood(p, flooding, s) }})
		}
	}
	for _, p := range organisationAdmissions() {
		list = append(list, job{organisationCase, p.name, func(s uint64) []Result { return measureOrganisations(p, s) }})
	}
	return list
}

func otherJobs() []job {
	var list []job
	for _, p := range chainPolicies() {
		list = append(list, job{chainCase, p.name, func(s uint64) []Result { return measureChain(p, s) }})
	}
	for _, m := range coldModels() {
		list = append(list, job{m.name, "no warm-up", func(s uint64) []Result { return measureCold(m, "no warm-up", false, s) }})
		list = append(list, job{m.name, ownPolicy, func(s uint64) []Result { return measureCold(m, ownPolicy, true, s) }})
	}
	for _, b := range balancers()[2:] {
		list = append(list, job{failCase, b.name, func(s uint64) []Result { return measureFailFast(b, s) }})
	}
	for _, l := range limiters() {
		list = append(list, job{limitCase, l.name, func(s uint64) []Result { return measureLimit(l, s) }})
	}
	for _, p := range regionPolicies() {
		list = append(list, job{regionCase, p.name, func(s uint64) []Result { return measureRegions(p, s) }})
	}
	for _, name := range []string{plainUploads, ownPolicy} {
		list = append(list, job{linkCase, name, func(s uint64) []Result { return measureLink(name, s) }})
	}
	return list
}

// Run runs the cases whose name matches the regular expression; an empty one
// matches all. The number of workers does not affect the results. The cost of a
// pick is measured in real time, so its runs follow the others, one at a time.
func Run(match string, workers int) ([]Result, error) {
	expression, err := regexp.Compile(match)
	if err != nil {
		return nil, errors.Wrap(err, "case expression")
	}
	selected := slices.DeleteFunc(jobs(), func(j job) bool { return !expression.MatchString(j.name) })
	parts := make([][]Result, len(selected)*Seeds)
	var group errgroup.Group
	group.SetLimit(workers)
	for i, j := range selected {
		for s := range Seeds {
			if j.name == pickCase {
				continue
			}
			group.Go(func() error {
				parts[i*Seeds+s] = j.run(uint64(s + 1))
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, j := range selected {
		for s := range Seeds {
			if j.name == pickCase {
				parts[i*Seeds+s] = j.run(uint64(s + 1))
			}
		}
	}
	return slices.Concat(parts...), nil
}

// Write writes the results to a file as a JSON array with one result per line.
func Write(path string, list []Result) error {
	lines := make([]string, len(list))
	for i, r := range list {
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		lines[i] = string(data)
	}
	return os.WriteFile(path, []byte("[\n"+strings.Join(lines, ",\n")+"\n]\n"), 0o600)
}

// Print prints a table for each case with the median and the range of each
// metric over the seeds, one policy per row, followed by the goals.
func Print(w io.Writer, list []Result) error {
	t := newTables(list)
	var text strings.Builder
	for _, c := range t.cases {
		text.WriteString("\n" + c + "\n  policy\t" + strings.Join(t.headings(c), "\t") + "\n")
		for _, p := range t.policies[c] {
			text.WriteString("  " + p)
			for _, m := range t.metrics[c] {
				text.WriteString("\t" + t.cell(c, p, m))
			}
			text.WriteString("\n")
		}
	}
	text.WriteString("\ngoals\n")
	for _, g := range goals(t) {
		verdict := "not met"
		if g.met {
			verdict = "met"
		}
		text.WriteString("  " + verdict + "\t" + g.text + "\t" + g.figure + "\n")
	}
	table := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	if _, err := table.Write([]byte(text.String())); err != nil {
		return err
	}
	return table.Flush()
}

// tables indexes results by case, policy and metric.
type tables struct {
	cases    []string
	policies map[string][]string
	metrics  map[string][]string
	units    map[string]string
	values   map[[3]string][]float64
}

func newTables(list []Result) *tables {
	t := &tables{
		policies: make(map[string][]string), metrics: make(map[string][]string),
		units: make(map[string]string), values: make(map[[3]string][]float64),
	}
	for _, r := range list {
		if !slices.Contains(t.cases, r.Case) {
			t.cases = append(t.cases, r.Case)
		}
		if !slices.Contains(t.policies[r.Case], r.Policy) {
			t.policies[r.Case] = append(t.policies[r.Case], r.Policy)
		}
		if !slices.Contains(t.metrics[r.Case], r.Metric) {
			t.metrics[r.Case] = append(t.metrics[r.Case], r.Metric)
		}
		t.units[r.Metric] = r.Unit
		key := [3]string{r.Case, r.Policy, r.Metric}
		t.values[key] = append(t.values[key], r.Value)
	}
	return t
}

func (t *tables) headings(c string) []string {
	var list []string
	for _, m := range t.metrics[c] {
		heading := m
		if u := t.units[m]; u != "" {
			heading += " (" + u + ")"
		}
		list = append(list, heading)
	}
	return list
}

func (t *tables) cell(c, p, m string) string {
	values := t.values[[3]string{c, p, m}]
	if len(values) == 0 {
		return "-"
	}
	s := spreadOf(values)
	if s.least == s.greatest {
		return fmt.Sprintf("%.4g", s.median)
	}
	return fmt.Sprintf("%.4g [%.4g..%.4g]", s.median, s.least, s.greatest)
}

// spread returns the distribution of a metric over the seeds.
func (t *tables) spread(c, p, m string) spread {
	return spreadOf(t.values[[3]string{c, p, m}])
}

// ratio returns the distribution of a metric of policy p divided by that of
// policy q for the same seed.
func (t *tables) ratio(c, p, q, m string) spread {
	a, b := t.values[[3]string{c, p, m}], t.values[[3]string{c, q, m}]
	var list []float64
	for i := range min(len(a), len(b)) {
		list = append(list, a[i]/b[i])
	}
	return spreadOf(list)
}

func (t *tables) hasCase(c string) bool { return slices.Contains(t.cases, c) }
