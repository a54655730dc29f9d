#!/bin/sh
# Builds the stand-ins that the cases start, all in one program: plain Rust, no packages, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig/main.rs
