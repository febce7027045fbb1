// Command load sends a mix of Puente's requests to daemons, prints a table by
// rank, and exits with 1 if a promise was broken.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/standin/load"
)

func main() {
	daemons := flag.String("daemons", "", "URLs of the daemons' ports for callers, separated by commas")
	runs := flag.String("runs", "", "URLs of the targets' run logs, separated by commas")
	services := flag.String("services", "", "services to call, separated by commas; all if empty")
	rate := flag.Float64("rate", 200, "requests per second")
	duration := flag.Duration("duration", 10*time.Second, "time during which requests are sent")
	repeat := flag.Float64("repeat", 0.1, "share of bookings that are sent twice")
	answered := flag.Float64("answered", 0, "share of each rank that must be answered")
	organisation := flag.String("organisation", "estudio-puente", "organisation of the requests")
	seed := flag.Uint64("seed", 1, "seed of the mix")
	asJSON := flag.Bool("json", false, "print the result as JSON")
	flag.Parse()
	var names []fleet.Service
	for _, s := range split(*services) {
		names = append(names, fleet.Service(s))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	l := &load.Load{
		Daemons: split(*daemons), RunLogs: split(*runs), Kinds: load.Puente(names...), Rate: *rate,
		Duration: *duration, RepeatShare: *repeat, MinAnswered: *answered, Organisation: fleet.Organisation(*organisation), Seed: *seed,
	}
	result, err := l.Run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
	if *asJSON {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		err = result.Print(os.Stdout)
	}
	if err != nil || !result.OK() {
		os.Exit(1)
	}
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
