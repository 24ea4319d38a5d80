#!/bin/sh
# Builds every stand-in that the scripts of the review start. It needs no network: the
# stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o bin/standin ./standin
