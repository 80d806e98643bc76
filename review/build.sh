#!/usr/bin/env bash
# Builds the stand-ins of the review cases. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig review/rig/main.go
