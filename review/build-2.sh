#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file: the emulated
# platform and the driver.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -buildvcs=false -o target/review-2/ ./cmd/egretdrum ./review/driver2
