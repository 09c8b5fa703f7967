#!/usr/bin/env bash
# Builds the stand-ins of all cases. They need the Rust compiler and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
