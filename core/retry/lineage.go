package retry

import (
	"sync"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// countCallsOfRepeats is a mechanism that tests can switch off.
var countCallsOfRepeats = mutant.New("retry/calls-of-repeated-runs")

// callRateWeight is the weight of one run in the moving average of its calls.
const callRateWeight = 1.0 / 32

// Lineage tells the calls that the runs at one target make, and knows which of the runs are
// repeats: runs of a request that has arrived at a target before, and calls of such runs.
// The calls of a repeat are repeats themselves. The zero value is ready to use.
type Lineage struct {
	mu   sync.Mutex
	runs map[exchange.RequestID]*lineageRun
	// perRun is the mean number of calls of a run to each service.
	perRun map[fleet.Service]float64
}

// lineageRun is a run in progress.
type lineageRun struct {
	repeat bool
	calls  map[fleet.Service]float64
}

// Begin records that the target begins to run a request. The returned function records its
// end.
func (l *Lineage) Begin(id exchange.RequestID, repeat bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs, l.perRun = make(map[exchange.RequestID]*lineageRun), make(map[fleet.Service]float64)
	}
	run := &lineageRun{repeat: repeat}
	l.runs[id] = run
	return func() { l.end(id, run) }
}

func (l *Lineage) end(id exchange.RequestID, run *lineageRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] == run {
		delete(l.runs, id)
	}
	for service := range run.calls {
		if _, known := l.perRun[service]; !known {
			l.perRun[service] = 0
		}
	}
	for service, mean := range l.perRun {
		l.perRun[service] = mean + callRateWeight*(run.calls[service]-mean)
	}
}

// Call records a call by the run of the parent request and reports whether the run is a
// repeat. The parent may be empty or unknown.
func (l *Lineage) Call(parent exchange.RequestID, service fleet.Service) (repeat bool) {
	if parent == "" || countCallsOfRepeats.Off() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[parent]
	if run == nil {
		return false
	}
	if run.calls == nil {
		run.calls = make(map[fleet.Service]float64)
	}
	run.calls[service]++
	return run.repeat
}

// Running reports whether the target runs the request.
func (l *Lineage) Running(id exchange.RequestID) bool {
	if id == "" {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] != nil
}

// CallsPerRun returns the mean number of calls of a run to each service.
func (l *Lineage) CallsPerRun() map[fleet.Service]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[fleet.Service]float64, len(l.perRun))
	for service, mean := range l.perRun {
		out[service] = mean
	}
	return out
}
