#!/usr/bin/env bash
# Runs the benchmarks on loopback and exits with a non-zero status if a bound is exceeded.
# Arguments are passed to the benchmark program, for example:
# scripts/bench.sh -points requests,tickets
set -euo pipefail
cd "$(dirname "$0")/../bench"
exec go run ./cmd/bench "$@"
