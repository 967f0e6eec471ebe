#!/usr/bin/env bash
# What a request costs in virtual time, from 3 nodes and 17 boxes to 200 and 5,000, on one core: the policy, and a
# baseline that decides in no time to speak of, which shows the driver's own part. About two minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release
printf '%-12s %6s %6s %9s %9s %12s %12s\n' variant nodes boxes requests events requests/s events/s
for size in "3 17 40" "10 100 8" "30 500 1.6" "100 2000 0.4" "200 5000 0.2"; do
    read -r nodes boxes seconds <<< "$size"
    for variant in policy random; do
        taskset -c 0 target/release/magpietally site run calm --nodes "$nodes" --boxes "$boxes" --seconds "$seconds" \
            --variant "$variant" --cost --json 2>&1 > /dev/null \
            | awk -v v="$variant" -v n="$nodes" -v b="$boxes" \
                '{printf "%-12s %6s %6s %9s %9s %12s %12s\n", v, n, b, $1, $3, $8, $11}'
    done
done
