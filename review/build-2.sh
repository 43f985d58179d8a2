#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-two ./review/standins2
