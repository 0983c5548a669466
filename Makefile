.PHONY: build test ci local bench-capacity

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

ci:
	bash .ci/run

local:
	go run ./cmd/lentildeck local
