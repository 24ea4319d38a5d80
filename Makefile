# Every target works on a machine that has Go, gcc, make and git.
GO ?= go
BIN := bin
LINT_VERSION := v2.15.0
LINT := $(shell $(GO) env GOPATH)/bin/golangci-lint

.PHONY: all build test check unit race model demo measure bench fuzz fresh tools

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: check unit race model

check: tools
	$(LINT) fmt --diff ./...
	$(LINT) run ./...
	$(GO) vet ./...

unit: build
	TM_BIN=$(CURDIR)/$(BIN) $(GO) test -timeout 8m ./...
	@sed -n 's/^\(scenario\|test\) \([^:]*\):.*/known red, passed over: \1 \2/p' KNOWN-RED.txt

race:
	$(GO) test -race -timeout 9m ./core/... ./io/...

model:
	@if [ -x model/check.sh ]; then sh model/check.sh; fi

demo: build
	@sh scripts/demo.sh

measure: build
	$(GO) run ./cmd/tmmeasure --commit "$$(git rev-parse --short HEAD)"

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./core/... ./io/...

# fresh runs the property tests on new seeds, which are printed on failure.
fresh:
	TM_FRESH_SEEDS=1 $(GO) test -count=1 ./core/...

tools:
	@$(LINT) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
