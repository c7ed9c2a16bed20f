#!/bin/sh
# Builds the stand-ins of the second review into target/. They need no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
go build -o ../../target/standin-2 .
