#!/bin/sh
# Builds the stand-ins of the review with the compiler alone: they need no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand_ins/main.rs -o target/review/stand-ins
