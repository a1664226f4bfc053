#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec ../bin/reviewcase queue
