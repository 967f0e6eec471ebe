#!/usr/bin/env bash
# Two files of results of one experiment, from two builds, held against each other seed by seed: for each site the mean worth
# in time of the first, the mean difference of the second to it with a 95% interval, the same of the worst 10 s, and how many
# boxes fell over.
#   switched-off.sh WITH.jsonl WITHOUT.jsonl
set -euo pipefail
fields() {
    sed -E 's|.*"site":"([^"]*)".*"seed":([0-9]+).*"worth":([0-9.e-]+),"worst_10_s":([0-9.e-]+).*"fallen":([0-9]+).*|\1/\2 \3 \4 \5|' "$1" | sort
}
printf '%-16s %5s %8s %9s %8s %9s %8s %7s\n' site seeds worth differs '+-' worst10 '+-' fallen
join <(fields "$1") <(fields "$2") | awk '
    { split($1, at, "/"); s = at[1]; n[s]++; w[s] += $2; d = $5 - $2; sum[s] += d; squares[s] += d * d
      e = $6 - $3; worst[s] += e; worst2[s] += e * e; fell[s] += $4; falls[s] += $7 }
    function half(sum, squares, n) { v = (squares - sum * sum / n) / (n - 1); return 1.96 * sqrt((v > 0 ? v : 0) / n) }
    END { for (s in n) printf "%-16s %5d %8.4f %+9.4f %8.4f %+9.4f %8.4f %3d/%d\n", s, n[s], w[s] / n[s], sum[s] / n[s],
        half(sum[s], squares[s], n[s]), worst[s] / n[s], half(worst[s], worst2[s], n[s]), fell[s], falls[s] }' | sort
