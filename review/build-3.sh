#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15: the emulated platform, which is the
# project's own, and the driver of the cases. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -trimpath -buildvcs=false -o target/review-3/ ./cmd/egretdrum ./review/driver3
