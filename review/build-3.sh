#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/standin3 .
