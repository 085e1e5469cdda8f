#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They use the standard library
# only; the programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in drain restart_drain limit; do
    rustc --edition 2021 -O -o "target/review/$name" "review/harness/$name.rs"
done
