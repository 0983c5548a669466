#!/usr/bin/env bash
# Builds the stand-ins of the second review; they use the standard library only. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review/standin2 .
