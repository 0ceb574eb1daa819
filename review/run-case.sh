#!/usr/bin/env bash
# Plays a case: starts the stand-ins and real processes of lynxhill on loopback addresses,
# and ends all of them. Status: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
#
#   run-case.sh CASE DIR     # DIR gets record.txt; TROUBLE=0 leaves out the disruption
set -uo pipefail
name=$1
out=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
work=$(mktemp -d) || exit 2
pids=()

# finish ends every process that was started here, by its id, and waits for it.
finish() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for ((n = 0; n < 50; n++)); do
        local left=""
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && left=yes; done
        [[ -z $left ]] && break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    if [[ -n ${KEEP_LOGS:-} ]]; then mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$work"/*.toml "$KEEP_LOGS"/; fi
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in target/lynxhilld target/review-standins; do
    [[ -x $program ]] || { echo "$program is not built" >&2; exit 2; }
done

target/review-standins -case "$name" -dir "$work" -record "$out/record.txt" -trouble "${TROUBLE:-1}" >"$work/standins.log" 2>&1 &
world=$!
pids+=("$world")
for ((n = 0; n < 100; n++)); do
    [[ -e $work/instances ]] && break
    sleep 0.1
done
[[ -e $work/instances ]] || { cat "$work/standins.log" >&2; exit 2; }
while read -r id; do
    target/lynxhilld run --config "$work/$id.toml" >"$work/$id.log" 2>&1 &
    pids+=("$!")
done <"$work/instances"

for ((n = 0; n < 1150; n++)); do
    kill -0 "$world" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$world" 2>/dev/null; then echo "the stand-ins took over 115 s" >&2; exit 2; fi
wait "$world"
status=$?
cat "$work/standins.log"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
