#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, after the build of the deploy file. It needs no network: only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
