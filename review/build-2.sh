#!/bin/bash
# Builds the programs of the cases 6 to 10, with their stand-ins, and the project's relay. The agent is built by the
# deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in 6 7 8 9 10; do
	if [ -f "$folder/main.go" ]; then
		go build -buildvcs=false -trimpath -o "bin/case-$folder" "./$folder"
	fi
done
