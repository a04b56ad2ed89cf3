#!/bin/sh
# Builds the stand-in that the scripts of review/4 and later start, into target/. It needs the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS="${GOFLAGS:-}" go build -o ../../target/review-standin-2 .
