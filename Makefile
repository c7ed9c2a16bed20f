# On a fresh checkout, run `go run . demo` and `make test`.
SHELL := /bin/bash
GO ?= go

.PHONY: test build format lint unit model generate bench tools

test: tools format lint unit model

build:
	$(GO) build -o bin/shallotcleat .

# Installs spin and a C compiler, which check the model of the order protocol, if they are missing (Debian only).
tools:
	@command -v spin >/dev/null && command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev; }

format:
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	GO=$(GO) .ci/unit

model:
	model/check.sh

# Requires protoc, protoc-gen-go and protoc-gen-go-drpc; no other target does, since the output is committed.
generate:
	protoc --go_out=. --go_opt=module=shallotcleat --go-drpc_out=. --go-drpc_opt=module=shallotcleat io/wire/wire.proto io/wire/node.proto
