#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/, after the build of the deploy file. Needs Go only, and no network.
set -eu
cd "$(dirname "$0")/stand3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go test -c -o ../../target/review3 .
