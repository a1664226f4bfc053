#!/bin/sh
# Builds the stand-ins that the scripts of the second review start (review/6 and above), with the standard library alone.
set -e
cd "$(dirname "$0")/tool-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-2/standin .
