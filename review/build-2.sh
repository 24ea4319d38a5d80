#!/bin/sh
# Builds the stand-ins of the scripts of the second review. It needs Go and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin2
go build -buildvcs=false -o ../../target/review-standin2 .
cd ../standin3
go build -buildvcs=false -o ../../target/review-standin3 .
