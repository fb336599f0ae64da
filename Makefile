# One Makefile for everything a developer runs. CI calls "make check".
GOLANGCI_LINT_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINTER := $(TOOLS)/golangci-lint

.PHONY: build test race lint format generate check proof

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...
	go test -tags hostile -run '^TestHostile' ./tests

race:
	go test -race ./internal/... ./pkg/...

lint: $(LINTER)
	$(LINTER) fmt --diff
	$(LINTER) run

format: $(LINTER)
	$(LINTER) fmt

# Generated code is committed; this needs protoc and protoc-gen-go in PATH.
generate:
	go generate ./...

check: lint test

$(LINTER):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
