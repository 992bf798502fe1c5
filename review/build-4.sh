#!/bin/bash
# Builds what the scripts of the fourth review start beside the programs of the deploy file: the driver, and
# the emulated platform of this project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-4
go build -trimpath -buildvcs=false -o target/review-4/egretdrum ./cmd/egretdrum
go build -trimpath -buildvcs=false -o target/review-4/driver4 ./review/driver4
