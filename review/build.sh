#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library alone, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review_cases review/standins/main.rs
