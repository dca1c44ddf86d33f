#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. They need the Rust compiler alone, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in wrong_bytes restored_list; do
    rustc --edition 2024 -O -o "target/review-2/$source" "review/stand_ins_2/$source.rs"
done
