#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 6 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2/rig2 ./review/_rig2
