#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
