#!/usr/bin/env bash
# Measures the system on loopback and exits non-zero when a bound is missed.
# Arguments go to the program, for example: scripts/bench.sh -points requests,tickets
set -euo pipefail
cd "$(dirname "$0")/../bench"
exec go run ./cmd/bench "$@"
