#!/usr/bin/env bash
# Runs the demo with the fault shim preloaded into its nodes, once for each plan; prints what came of it and how many faults
# were injected. Usage: docs/measurements/faults.sh [SECONDS] PLAN...   A plan is as tests/fault_shim/src/plan.rs says.
# PROGRAM and SHIM name other builds; DEMO holds further arguments of the demo.
set -euo pipefail
cd "$(dirname "$0")/../.."
PROGRAM=${PROGRAM:-target/release/magpietally}
SHIM=${SHIM:-target/release/libmagpietally_fault_shim.so}
SECONDS_LONG=12
if [[ ${1:-} =~ ^[0-9]+$ ]]; then SECONDS_LONG=$1; shift; fi
for plan in "$@"; do
    counts=$(mktemp)
    result=$(LD_PRELOAD="$PWD/$SHIM" MAGPIETALLY_FAULTS="$plan" MAGPIETALLY_FAULTS_COMMAND=node \
        MAGPIETALLY_FAULTS_COUNTS="$counts" "$PROGRAM" demo --seconds "$SECONDS_LONG" --json ${DEMO:-} 2>&1) || true
    python3 - "$plan" "$counts" "$result" <<'PYTHON'
import json, struct, sys
plan, path, result = sys.argv[1:]
counts = open(path, "rb").read()
faults = list(struct.unpack(f"<{len(counts) // 8}Q", counts[: len(counts) // 8 * 8]))
try:
    report, _ = json.JSONDecoder().raw_decode(result[result.index("{"):])
    told = {key: report[key] for key in ("requests", "served", "refused", "failed", "rules_broken")}
    ends = [{key: node[key] for key in ("starts", "crashes", "cpu_ms")} for node in report["nodes"]]
    print(json.dumps({"plan": plan, "faults": faults, **told, "nodes": ends}), flush=True)
except ValueError:
    print(json.dumps({"plan": plan, "faults": faults, "printed": result[-400:]}))
PYTHON
    rm -f "$counts"
done
