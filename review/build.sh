#!/bin/sh
# Builds the stand-ins of the cases' scripts with the standard library alone.
set -e
cd "$(dirname "$0")/tool"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/reviewcase .
