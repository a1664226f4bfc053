#!/bin/sh
# Builds the stand-ins and the player of the cases of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/tool-3
