#!/usr/bin/env bash
# The node on loopback: what it adds to a request that would else go straight to a box, in the same run, and the driver's
# own lateness at 5,000 requests a second. Fast boxes, so that the node and the driver are what is measured; the clients,
# boxes and list share one thread of their own. About a minute.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
target/release/magpietally site print demo | sed '/^\[\[faults\]\]/,$d' \
    | sed 's/^work_ms = .*/work_ms = 0.2/; s/^work_cv = .*/work_cv = 0.0/; s/^handshake_ms = .*/handshake_ms = 0.0/; s/^zones = .*/zones = ["here"]/' \
    > "$folder/fast.toml"
for rate in 500 1000 2000 5000; do
    printf '%s requests a second, half of them straight to a box\n' "$rate"
    target/release/magpietally demo --site "$folder/fast.toml" --rate "$rate" --straight 0.5 --seconds 12 \
        | grep -E 'requests  |in time  |rules broken  |by way|straight to|late by|node-' | tail -8
done
