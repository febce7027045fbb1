GO ?= go
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0

.PHONY: build test lint fmt generate bench-path check-upload

build:
	$(GO) build -o bin/ ./...

test: build
	$(GO) test ./...

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

# Uploads 1 GB through two daemons and checks their memory.
check-upload: build
	scripts/path.sh scripts/upload.sh
