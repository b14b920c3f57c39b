#!/bin/sh
# Builds the stand-ins of the script cases 4 to 6, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/stand2"
CGO_ENABLED=0 GOWORK=off go build -o "$root/target/review-2/rig" .
