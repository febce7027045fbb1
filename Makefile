GO ?= go
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0

.PHONY: build test test-plain test-alone test-race lint fmt generate prove soak mutants regress bench-path check-upload measure slopes demo

SEED ?= 1
RUNS ?= 200

build:
	$(GO) build -o bin/ ./...

# Packages with state shared between goroutines, tested with the race detector.
RACE := ./core/admit ./core/attempt ./core/budget ./core/choice ./core/coldlimit ./core/config ./core/dispatch \
	./core/evacuation ./core/fairqueue ./core/freshness ./core/hang ./core/idempotency ./core/lease ./core/limit ./core/localtarget \
	./core/poison ./core/quota ./core/retry ./core/roster ./core/slowdown ./core/upload \
	./internal/daemon ./internal/logs ./internal/sidecar ./io/... ./platform

# Tests of the memory of real processes, which run alone.
ALONE := pollenscale/internal/untrusted

test: test-plain test-alone test-race

test-plain: build
	$(GO) test $$($(GO) list ./... | grep -vx $(ALONE))

test-alone: build
	$(GO) test -timeout 40m $(ALONE)

test-race: build
	$(GO) test -race $(RACE)

# Long randomised test of the guarantees; prints the seed of a failure.
prove:
	$(GO) test ./internal/prove -run TestPromises -count=1 -v -timeout 0 -args -seed $(SEED) -runs $(RUNS)

# Real daemons under injected faults; prints the seed of a failure.
soak:
	$(GO) test ./internal/soak -run TestSoak -count=1 -v -timeout 0 -args -seed $(SEED) -runs $(RUNS)

# Mutation test: disables one mechanism at a time and lists the tests that fail.
mutants:
	POLLENSCALE_MUTANTS=1 $(GO) test ./internal/mutant -run TestMutants -count=1 -v -timeout 20m

# Quick scores of the site files in SITES, with the bench in BENCH: the large deployment,
# the rostering ones and the grown ones.
regress:
	BENCH="$(BENCH)" SITES="$(SITES)" scripts/regress

demo: build
	scripts/demo

fmt:
	$(GO) run $(GOLANGCI) fmt ./...

lint:
	$(GO) vet ./...
	$(GO) run $(GOLANGCI) fmt --diff ./...
	$(GO) run $(GOLANGCI) run ./...

generate:
	$(GO) run $(BUF) generate

# Measures the latency that two daemons add to a call.
bench-path: build
	scripts/path.sh bin/benchpath $(BENCH)

# Uploads 1 GB through two daemons and checks their peak memory.
check-upload: build
	scripts/path.sh scripts/upload.sh

measure:
	$(GO) run ./cmd/measure -out MEASURES.json -plots docs/plots

# Measures the control-plane cost per daemon at several fleet sizes; writes SLOPES.json.
slopes:
	GOMAXPROCS=3 $(GO) run ./internal/slopes
