#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 11 on start: the project's own and a program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin bilberrylatch-soak
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-3 review/standin-3/main.rs
