#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 to 15. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS= GOWORK=off go build -o ../../target/standin-3 .
