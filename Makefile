.PHONY: build test ci local bench-capacity

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

ci:
	bash .ci/run

local:
	go run ./cmd/lentildeck local

bench-capacity:
	go test -run '^$$' -bench . -benchtime 1s -timeout 20m ./internal/proof/slope
