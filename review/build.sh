#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases. They use the standard library of Rust only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standins/main.rs
