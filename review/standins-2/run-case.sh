# Runs the program of one case, from its run.sh. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.."
program="target/review-2/case-$number"
if [ ! -x "$program" ] || [ ! -x target/release/magpietally ]; then
    echo "build first: the build command of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d)
CASE_RECORD="$folder/record.txt"
CASE_PIDS="$CASE_TMP/pids"
export CASE_TMP CASE_RECORD CASE_PIDS
clean_up() {
    if [ -f "$CASE_PIDS" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null || true; done < "$CASE_PIDS"
    fi
    rm -rf "$CASE_TMP"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
status=0
"$program" || status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
