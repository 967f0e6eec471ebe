#!/usr/bin/env bash
# The same seed gives byte-identical virtual results in a build without any optimisation and in the release build, on
# one thread and on four. Prints the digests; exit code 1 where they differ. About three minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --quiet --locked --release
cargo build --quiet --locked --profile plain
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat > "$folder/same.toml" <<'TOML'
name = "same"
seeds = 2
sites = [
    { site = "hang", name = "hang", set = { for_s = 16.0 } },
    { site = "burst", name = "burst", set = { for_s = 16.0 } },
    { site = "node_crash", name = "node_crash", set = { for_s = 20.0 } },
    { site = "release", name = "release", set = { for_s = 20.0 } },
    { site = "lost_answers", name = "lost_answers", set = { for_s = 16.0 } },
]
[[variants]]
name = "policy"
[[variants]]
name = "two_choices"
pick = "two_choices"
TOML
for build in release plain; do
    for threads in 1 4; do
        "target/$build/magpietally" experiment "$folder/same.toml" --threads "$threads" \
            --results "$folder/$build-$threads.jsonl" > /dev/null
        # Runs end in any order; each line is what must be the same.
        printf '%-8s %s threads: %s runs, %s\n' "$build" "$threads" "$(wc -l < "$folder/$build-$threads.jsonl")" \
            "$(sort "$folder/$build-$threads.jsonl" | sha256sum | cut -c1-16)"
    done
done | tee "$folder/table"
[ "$(awk '{print $NF}' "$folder/table" | sort -u | wc -l)" = 1 ] || { echo "they differ"; exit 1; }
