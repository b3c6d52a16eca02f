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
# Tests that fail for a fault that is known and not mended yet: listed by name in the first column, passed over and printed.
skip='^$'
if [ -s KNOWN-RED.txt ]; then
	echo "known red, passed over:"
	cat KNOWN-RED.txt
	skip="^($(cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|'))\$"
fi
go test -race -short -count=1 -timeout 5m -skip "$skip" ./...
go test -count=1 -timeout 4m -skip "$skip" -run 'TestHearsBefore|TestReadyInTime|TestOverloaded|TestMovesInTurn|TestFleet' ./internal/agent ./internal/discovery ./internal/relay # fleets of hundreds, which the race detector cannot hold
go test -count=1 -timeout 3m -skip "$skip" -run 'TestTiny' ./cmd/scale # a whole scale run, held by the clock
go test -count=1 -timeout 3m -skip "$skip" -run 'TestEnds' ./cmd/scale # and such runs cut short
