# The two commands of a fresh machine are `go run . demo` and `make test`.
SHELL := /bin/bash
GO ?= go

.PHONY: test build format lint unit model generate bench tools

test: tools format lint unit model

build:
	$(GO) build -o bin/shallotcleat .

# spin and a C compiler check the order protocol's model; on Debian they are installed if they are missing.
tools:
	@command -v spin >/dev/null && command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev; }

format:
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race ./...

model:
	model/check.sh

# protoc, protoc-gen-go and protoc-gen-go-drpc are needed for this target only; its output is committed.
generate:
	protoc --go_out=. --go_opt=module=shallotcleat --go-drpc_out=. --go-drpc_opt=module=shallotcleat io/wire/wire.proto io/wire/node.proto
