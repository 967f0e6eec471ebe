#!/usr/bin/env bash
# What a request costs a node on one core, by boxes, and on several: docs/measurements/path.md. Programs built from
# earlier commits may be named to be measured in the same run. About a minute for each program.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release
cargo build --quiet --locked --release -p magpietally-site --example path
taskset -c 1-3 target/release/examples/path "$@" target/release/magpietally --strace
echo 'Workers, each on a core; with four the clients and the boxes share the cores with them'
taskset -c 2-3 target/release/examples/path target/release/magpietally --boxes=100 --workers=1,2,4
