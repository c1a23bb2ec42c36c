#!/bin/sh
# Builds the stand-ins of the second review's cases, without a network. It needs the build of the deploy file before it.
set -e
cd "$(dirname -- "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "target/review-2/$name" "$source"
done
