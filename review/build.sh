#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. The programs under review are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/standin .
