#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start. Run it after the build of the
# deploy file. It needs no network and no module that that build does not need.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3/ ./review/stand-3
