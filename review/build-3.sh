#!/bin/sh
# Builds the stand-ins of the third review. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig3 review/rig3/*.go
