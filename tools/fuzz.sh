#!/usr/bin/env bash
# Runs each fuzz target of the platform's decoders, and of the engine behind them, for a while; go test alone runs their seeds.
#
# usage: tools/fuzz.sh [TIME]   the default is 10m
set -euo pipefail
cd "$(dirname "$0")/.."

for target in $(go test -list '^Fuzz' ./platform | grep '^Fuzz'); do
  go test ./platform -run '^$' -fuzz "^$target\$" -fuzztime "${1:-10m}" -parallel 2
done
