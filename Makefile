GO ?= go
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0

.PHONY: build test lint fmt generate demo

build:
	$(GO) build -o bin/ ./...

test: build
	$(GO) test ./...

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
