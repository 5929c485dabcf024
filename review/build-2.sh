#!/bin/sh
# Builds the stand-ins of the second review's scripts, which need the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/main.rs
