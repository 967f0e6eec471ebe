#!/usr/bin/env bash
# Instructions and time of one decision (a request that comes, and an answer) against servers and held requests, as a
# table and a plot. Instructions are callgrind's: the difference of two runs, the same every time. About two minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release -p magpietally-policy --example decision
program=${1:-target/release/examples/decision}
pairs=${PAIRS:-2000}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
count() {
    valgrind --tool=callgrind --callgrind-out-file=/dev/null "$program" "$1" "$2" "$3" 2>&1 > /dev/null \
        | sed -n 's/.*Collected : //p'
}
cell() {
    local less more
    less=$(count "$1" "$2" 10)
    more=$(count "$1" "$2" $((pairs + 10)))
    echo "$1 $2 $(((more - less) / pairs)) $("$program" "$1" "$2" 20000 2> /dev/null | cut -d' ' -f4)" > "$folder/$1-$2"
}
export -f cell count
export program pairs folder
for held in ${HELD:-0 1 100 10000}; do
    for boxes in ${BOXES:-10 100 1000 5000}; do echo "$boxes $held"; done
done | xargs -P 4 -L 1 bash -c 'cell "$@"' _
printf '%6s %6s %13s %8s\n' boxes held instructions ns
cat "$folder"/* | sort -k2n -k1n | awk '{
    printf "%6d %6d %13d %8d  ", $1, $2, $3, $4
    for (i = 0; i < $3 / 700; i++) printf "#"
    print ""
}'
