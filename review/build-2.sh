#!/bin/sh
# Builds the stand-ins of the scripts of the second review (review/6 to review/10) into target/; needs Go only.
set -eu
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go test -c -o ../../target/review2 .
