.PHONY: build test fuzz ci local bench-capacity regress

build:
	go build -o bin/ ./cmd/...

# Passes over the tests that KNOWN-RED.txt lists, and prints them.
test:
	tools/test.sh

# Ten minutes for each fuzz target; FUZZTIME=20s is a short run.
fuzz:
	tools/fuzz.sh $(FUZZTIME)

ci:
	bash .ci/run

local:
	go run ./cmd/lentildeck local

bench-capacity:
	go test -run '^$$' -bench . -benchtime 1s -timeout 20m ./internal/proof/bench

# Plays the large site, the grown one of Junior Savers and both standard ones against the figures that landed last.
regress:
	tools/regress.sh
