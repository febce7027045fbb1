GO ?= go
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0

.PHONY: build test lint fmt generate slopes

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

# Measures control costs per daemon at several sizes; writes SLOPES.json.
slopes:
	GOMAXPROCS=3 $(GO) run ./internal/slopes
