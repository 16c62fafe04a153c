#!/bin/bash
# Builds the stand-ins of the cases review/6 and later. They need no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -buildvcs=false -o bin/stand .
