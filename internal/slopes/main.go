// Command slopes measures the cost of the control logic per daemon at several
// fleet sizes and compares membership protocols.
//
// All daemons run in one process in virtual time (package fleetsim). The command
// writes a JSON array of {Role, Metric, Size, Value, Unit} and prints a table. A
// value is the median over the seeds; the metrics with suffix "min" and "max" give
// the range.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"pollenscale/core/member"
)

// Row is the value of one metric at one fleet size.
type Row struct {
	Role   string
	Metric string
	Size   int
	Value  float64
	Unit   string
}

// key identifies a metric across seeds.
type key struct {
	Role, Metric string
	Size         int
	Unit         string
}

// results collects the values of each metric over the seeds.
type results struct {
	values map[key][]float64
	order  []key
}

func (r *results) add(role, metric string, size int, value float64, unit string) {
	k := key{role, metric, size, unit}
	if _, ok := r.values[k]; !ok {
		r.order = append(r.order, k)
	}
	r.values[k] = append(r.values[k], value)
}

func (r *results) rows() []Row {
	var out []Row
	for _, k := range r.order {
		v := slices.Sorted(slices.Values(r.values[k]))
		out = append(out, Row{k.Role, k.Metric, k.Size, v[len(v)/2], k.Unit})
		if len(v) > 1 && v[0] != v[len(v)-1] {
			out = append(out, Row{k.Role, k.Metric + " min", k.Size, v[0], k.Unit}, Row{k.Role, k.Metric + " max", k.Size, v[len(v)-1], k.Unit})
		}
	}
	return out
}

func main() {
	output := flag.String("out", "SLOPES.json", "file to write")
	sizes := flag.String("sizes", "50,100,200,400,800", "numbers of daemons")
	seeds := flag.Int("seeds", 3, "seeds per size")
	chosenOnly := flag.Bool("alone", false, "measure only the protocol in use")
	flag.Parse()
	if err := run(*output, *sizes, *seeds, *chosenOnly); err != nil {
		slog.Error("slopes: failed.", "error", err)
		os.Exit(1)
	}
}

func run(output, sizes string, seeds int, chosenOnly bool) error {
	r := &results{values: map[key][]float64{}}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		started := time.Now()
		for seed := range seeds {
			// A single seed limits the run time at large sizes.
			if seed > 0 && n >= 400 {
				break
			}
			measureGossip(r, n, uint64(seed+1))
			if !chosenOnly {
				measureAlternatives(r, n, uint64(seed+1))
			}
		}
		slog.Info("slopes: size measured.", "daemons", n, "seconds", time.Since(started).Seconds())
	}
	if chosenOnly {
		return write(output, r.rows())
	}
	for seed := range seeds {
		measureDetectionTail(r, roleGossip, uint64(seed+1))
		measureDetectionTail(r, roleRandom, uint64(seed+1), member.WithRandomProbes())
	}
	measureTableMemory(r)
	for _, n := range []int{50, 100, 200} {
		if err := measureLoopback(r, n); err != nil {
			return err
		}
	}
	return write(output, r.rows())
}

func write(output string, rows []Row) error {
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(output, append(data, '\n'), 0o600); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%d\t%.4g\t%s\n", r.Role, r.Metric, r.Size, r.Value, r.Unit); err != nil {
			return err
		}
	}
	return w.Flush()
}
