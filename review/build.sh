#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the compiler alone: no packages are needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/standins
rustc --edition 2024 -O -o target/standins/standin review/standin/main.rs
