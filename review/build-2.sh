#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. They need the Rust compiler and its standard library
# only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins-2 review/standins-2/main.rs
