#!/usr/bin/env bash
# Builds the stand-ins of the scripts: target/review-stand. It needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/stand"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o "$root/target/review-stand" .
