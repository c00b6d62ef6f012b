#!/bin/sh
# Builds the programs that the scripts of the second review start, beside those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/harness-2/main.rs
