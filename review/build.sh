#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. Needs the Rust compiler alone, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -C debuginfo=0 -o target/review/standins review/standins/main.rs
