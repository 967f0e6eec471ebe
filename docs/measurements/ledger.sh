#!/usr/bin/env bash
# All that docs/measurements/ledger.md tells of the ledger: the writer and recovery alone, a node without a ledger and with
# both promises in one run, every crash point of the scripted life, bent bytes, and more than 200 kills under load. About
# twelve minutes, and 2 GB of disk in the folder that is named; by default a temporary one.
#   ledger.sh [FOLDER] [PART...]     parts: speed path crash fuzz kills
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=${1:-$(mktemp -d)}
mkdir -p "$folder"
shift || true
parts=" ${*:-speed path crash fuzz kills} "
cargo build --quiet --locked --release
cargo build --quiet --locked --release -p magpietally-site --example path
cargo build --quiet --locked --release -p magpietally-ledger --examples
if [[ $parts == *" speed "* ]]; then
    target/release/examples/speed "$folder/speed" 1000000 10000000
fi
if [[ $parts == *" path "* ]]; then
    TMPDIR="$folder" taskset -c 1-3 target/release/examples/path target/release/magpietally \
        --boxes=10 --ledger=off,process-crash,power-loss,off,process-crash,power-loss
fi
if [[ $parts == *" crash "* ]]; then
    target/release/examples/crash_points
fi
if [[ $parts == *" fuzz "* ]]; then
    PROPTEST_CASES=${PROPTEST_CASES:-200000} cargo test --quiet --locked --release -p magpietally-ledger --test fuzz
fi
if [[ $parts == *" kills "* ]]; then
    # 4 nodes, two of which die every 0.75 s: 110 times in 85 s.
    {
        target/release/magpietally site print demo | sed '/^\[\[faults\]\]/,$d; s/^count = 2/count = 4/; s/^for_s = .*/for_s = 85.0/'
        for n in $(seq 0 109); do
            printf '[[faults]]\nkind = "node_crash"\npart = 0.5\nat_s = %s\nfor_s = 0.4\n' \
                "$(awk "BEGIN { print 1 + 0.75 * $n }")"
        done
    } > "$folder/kills.toml"
    for promise in process-crash power-loss; do
        rm -rf "$folder/kills"
        # A kill that hits when nothing is out is a kill all the same; the load keeps that rare.
        target/release/magpietally demo --site "$folder/kills.toml" --seconds 85 --rate 200 --json \
            --ledger "$promise" --keep "$folder/kills" > "$folder/kills.json" || true
        printf '%s: ' "$promise"
        grep -o '"breaches":\[{[^]]*]' "$folder/kills.json" || true
        awk -F'"starts":' '{ for (n = 2; n <= NF; n++) starts += $n } END { print starts - 4 " kills" }' "$folder/kills.json"
        grep -o '"requests":[0-9]*\|"rules_broken":[0-9]*\|"troubles":[^]]*]' "$folder/kills.json" | paste -sd' '
        target/release/magpietally ledger reconcile "$folder"/kills/node-*-ledger --boxes "$folder"/kills/boxes/*.jsonl \
            > "$folder/differences.txt" 2>/dev/null || true
        grep -c 'unknown, and ran' "$folder/differences.txt" || true
        tail -1 "$folder/differences.txt"
    done
fi
