// Command measure runs the measurements of section 4 of the design page, writes
// MEASURES.json and prints a table.
package main

import (
	"flag"
	"fmt"
	"os"

	"pollenscale/internal/measure"
)

func main() {
	match := flag.String("case", "", "regular expression that selects the cases to run; all by default")
	out := flag.String("out", "", "file to write the results to as JSON; none by default")
	plots := flag.String("plots", "", "directory to write SVG plots to; none by default")
	workers := flag.Int("workers", measure.Workers, "number of concurrent runs")
	flag.Parse()
	if err := run(*match, *out, *plots, *workers); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(match, out, plots string, workers int) error {
	list, err := measure.Run(match, workers)
	if err != nil {
		return err
	}
	if out != "" {
		if err := measure.Write(out, list); err != nil {
			return err
		}
	}
	if plots != "" {
		if err := measure.Plot(plots, list); err != nil {
			return err
		}
	}
	return measure.Print(os.Stdout, list)
}
