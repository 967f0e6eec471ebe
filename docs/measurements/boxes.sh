#!/usr/bin/env bash
# The box list as a file that is replaced 100 times a second under load, while boxes drain, die and come back: whole, then with
# half-written copies in every third place, then from discovery to compare with. Three minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
{
    target/release/magpietally site print demo | sed '/^\[\[faults\]\]/,$d; s/^for_s = .*/for_s = 50.0/'
    for n in 0 1 2 3; do
        printf '[[faults]]\nkind = "release"\nat_s = %s\nstep_ms = 1500.0\npart = 0.5\n' "$((2 + 12 * n))"
        printf '[[faults]]\nkind = "box_crash"\nat_s = %s\nfor_s = 2.0\npart = 0.2\n' "$((9 + 12 * n))"
    done
} > "$folder/site.toml"
for how in ${HOW:-whole torn discovery}; do
    args=(--list-file "$how")
    [[ $how == discovery ]] && args=()
    printf '%s: ' "$how"
    target/release/magpietally demo --site "$folder/site.toml" --seconds "${SECONDS_EACH:-50}" --rate 300 --json "${args[@]}" > "$folder/out.json" || true
    grep -o '"requests":[0-9]*\|"in_time":[0-9]*\|"rules_broken":[0-9]*\|"breaches":\[{[^]]*]\|"latency":{[^}]*}\|"memory_kib":[0-9]*\|"cpu_ms":[0-9.]*\|"troubles":[^]]*]' \
        "$folder/out.json" | paste -sd' '
done
