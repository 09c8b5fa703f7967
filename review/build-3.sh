#!/bin/sh
# Builds the stand-ins of the cases 11 to 13: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standins-3/main.rs -o target/review-3/standins
