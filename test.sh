#!/bin/bash
# Everything that must hold before a change lands: format, vet, build, tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted" >&2
	exit 1
fi
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run ./...
go build ./...
# Tests that fail for a fault that is known and not mended yet are passed over and printed.
source tools/known-red.sh
if [ -s KNOWN-RED.txt ]; then
	echo "known red, passed over:"
	cat KNOWN-RED.txt
	known_red_check KNOWN-RED.txt
fi
known_red_test KNOWN-RED.txt -race -short -count=1 -timeout 5m -- ./...
known_red_test KNOWN-RED.txt -count=1 -timeout 4m -run 'TestChangesArrive|TestServiceThatBecame|TestAgentsPastDeadline|TestReadyInTime|TestOverloaded|TestStaggersPolls|TestFleet' -- ./internal/agent ./internal/discovery ./internal/relay # fleets of hundreds, which the race detector cannot hold
known_red_test KNOWN-RED.txt -count=1 -timeout 3m -run 'TestTiny' -- ./cmd/scale # a whole scale run, held by the clock
known_red_test KNOWN-RED.txt -count=1 -timeout 3m -run 'TestEnds' -- ./cmd/scale # and such runs cut short
