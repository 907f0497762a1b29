#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/standin/...
