#!/bin/sh
# Builds the stand-ins of the cases' scripts with the standard library alone.
set -e
cd "$(dirname "$0")/tool"
GOWORK=off GOFLAGS= GOPROXY=off CGO_ENABLED=0 go build -o ../bin/reviewcase .
