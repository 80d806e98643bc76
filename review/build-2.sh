#!/bin/sh
# Builds the stand-ins of the second review. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 review/rig2/*.go
