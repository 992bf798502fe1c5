#!/bin/bash
# Builds the stand-ins that the scripts of this folder start: the client of the cases, and this
# project's own emulated platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -buildvcs=false -o target/review/ ./review/stand ./cmd/egretdrum
