#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/stand .
