#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/main review/harness-3/main.rs
