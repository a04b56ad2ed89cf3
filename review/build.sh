#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Nothing but the standard library is needed.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
