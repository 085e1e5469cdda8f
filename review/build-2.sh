#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler of rust-toolchain.toml and the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.rs; do
    name=$(basename "$source" .rs)
    case "$name" in fleet | deadly) continue ;; esac
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
