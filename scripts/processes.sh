#!/usr/bin/env bash
# Runs a whole deployment as processes of its own, hurts them while a load runs,
# and checks the promises. See docs/design/processes.md.
#
# The stand-ins (platform and targets) are one process, each instance of
# lynxhill is one, the load is one. Only processes that this script started get
# signals, by their ids. Status: 0 if no promise was broken, else 1; 2 for usage.
set -euo pipefail

usage() {
    cat <<'TEXT'
Usage: scripts/processes.sh [options] [-- more options of 'lynxbench load']

  --instances N       instances (4)
  --deployment NAME   mediaplace or kilimanjaro (mediaplace)
  --rate R            requests a second (40)
  --duration S        seconds of load (20)
  --schedule "..."    what is done when, see below
  --relays            relays around each instance, for the action cut
  --change-every D    an operator changes a profile this often, such as 2s; 0s = never (2s)
  --seed N            seed of stand-ins and load (1)
  --dir DIR           directory for settings, logs and results; kept (a temporary one, removed on success)

A schedule is a list of SECONDS:ACTION:ARGUMENTS, with seconds since the load
began. Instances are numbered from 1; "all" means each.

  kill:N              SIGKILL
  freeze:N, thaw:N    SIGSTOP, SIGCONT
  term:N              SIGTERM, the graceful stop
  start:N             start a replacement at the same addresses (waits for the one before)
  restart:N           kill and start
  cut:N:FOR           cut an instance off from callers, platform and peers' calls (needs --relays)
  fault:KIND:FOR[:SUBJECT[:VALUE]]
                      a fault of the stand-ins, see 'lynxbench faults': store_*, target_*, lost_reply

Example: --schedule "3:kill:1 5:start:1 8:freeze:2 12:thaw:2 14:term:3 18:start:3"
TEXT
}

instances=4 deployment=mediaplace rate=40 duration=20 schedule="" relays="" change_every=2s seed=1 dir="" more=()
while (($#)); do
    case "$1" in
    --instances) instances=$2 && shift 2 ;;
    --deployment) deployment=$2 && shift 2 ;;
    --rate) rate=$2 && shift 2 ;;
    --duration) duration=$2 && shift 2 ;;
    --schedule) schedule=$2 && shift 2 ;;
    --relays) relays=--relays && shift ;;
    --change-every) change_every=$2 && shift 2 ;;
    --seed) seed=$2 && shift 2 ;;
    --dir) dir=$2 && shift 2 ;;
    --) shift && more=("$@") && break ;;
    --help | -h) usage && exit 0 ;;
    *) usage >&2 && exit 2 ;;
    esac
done

# Bounds, in seconds. The stand-ins end by themselves after the longest.
readonly READY_LIMIT=15 STOP_LIMIT=20
readonly WHOLE_LIMIT=$((duration + 120))

cd "$(dirname "$0")/.."
keep_dir=$dir
if [[ -n $dir ]]; then mkdir -p "$dir"; else dir=$(mktemp -d); fi
dir=$(cd "$dir" && pwd)
rm -f "$dir"/*.log "$dir/standins.json"

declare -A pid_of    # instance id -> process id of the running instance
declare -A frozen    # instance id -> 1 while stopped by SIGSTOP
declare -A ending    # process id -> status that it may end with
standins_pid="" load_pid="" wrong=()
export LYNXCTL_TOKEN="" LYNXCTL_SERVER=""

say() { printf '%6.1fs %s\n' "$(elapsed)" "$*"; }
elapsed() { awk -v now="$EPOCHREALTIME" -v began="$began" 'BEGIN { printf "%.2f", now - began }'; }
alive() { [[ -n ${1:-} ]] && kill -0 "$1" 2>/dev/null; }

# cleanup ends what is left, by id. A stopped process dies of SIGKILL as well.
cleanup() {
    local pid
    for pid in "${pid_of[@]}" "$load_pid" "$standins_pid"; do
        if alive "$pid"; then kill -KILL "$pid" 2>/dev/null || true; fi
    done
    wait 2>/dev/null || true
}
trap cleanup EXIT
began=$EPOCHREALTIME

build() {
    go build -o "$dir/bin/" ./cmd/lynxbench ./cmd/lynxhilld ./cmd/lynxctl
}

start_standins() {
    "$dir/bin/lynxbench" standins "$dir" --deployment "$deployment" --instances "$instances" --seed "$seed" \
        --limit "${WHOLE_LIMIT}s" $relays >"$dir/standins.out" 2>&1 &
    standins_pid=$!
    local tries
    for ((tries = 0; tries < READY_LIMIT * 20; tries++)); do
        [[ -e $dir/standins.json ]] && break
        alive "$standins_pid" || { cat "$dir/standins.out" >&2 && return 1; }
        sleep 0.05
    done
    # shellcheck disable=SC1091
    source "$dir/lynxctl.env"
}

# ids NUMBER|all prints the ids of instances.
ids() {
    if [[ $1 == all ]]; then
        echo "${INSTANCES[@]}"
    else
        echo "${INSTANCES[$(($1 - 1))]}"
    fi
}

# start_instance starts an instance once the one before at its addresses is gone.
start_instance() {
    local id=$1
    await_end "$id"
    "$dir/bin/lynxhilld" run --config "$dir/$id.toml" >>"$dir/$id.log" 2>&1 &
    pid_of[$id]=$!
    ending[$!]=none
}

# await_end waits for the end of an instance that was told to end, and checks
# its status.
await_end() {
    local id=$1 pid=${pid_of[$1]:-} tries status=0
    [[ -n $pid ]] || return 0
    for ((tries = 0; tries < STOP_LIMIT * 20; tries++)); do
        alive "$pid" || break
        sleep 0.05
    done
    if alive "$pid"; then
        wrong+=("$id (process $pid) did not end within $STOP_LIMIT s")
        kill -KILL "$pid"
    fi
    wait "$pid" 2>/dev/null || status=$?
    unset "pid_of[$id]"
    if [[ ${ending[$pid]} != "$status" ]]; then
        wrong+=("$id (process $pid) ended with status $status, expected ${ending[$pid]}")
    fi
}

signal_instance() { # id, signal, status to expect ("" = goes on)
    local id=$1 pid=${pid_of[$1]:-}
    if ! alive "$pid"; then
        say "$id is not running: no $2"
        return 0
    fi
    if [[ -n $3 ]]; then ending[$pid]=$3; fi
    kill -"$2" "$pid"
    say "SIG$2 to $id (process $pid)"
}

act() { # action, arguments
    local action=$1 argument=$2 rest=${3:-} id
    case "$action" in
    kill) for id in $(ids "$argument"); do signal_instance "$id" KILL 137; done ;;
    term) for id in $(ids "$argument"); do signal_instance "$id" TERM 0; done ;;
    freeze) for id in $(ids "$argument"); do signal_instance "$id" STOP "" && frozen[$id]=1; done ;;
    thaw) for id in $(ids "$argument"); do signal_instance "$id" CONT "" && unset "frozen[$id]"; done ;;
    start) for id in $(ids "$argument"); do start_instance "$id" && say "started $id (process ${pid_of[$id]})"; done ;;
    restart) act kill "$argument" && act start "$argument" ;;
    cut) fault instance_cut "$rest" "$(ids "$argument")" ;;
    fault)
        local for_time subject value
        IFS=: read -r for_time subject value <<<"$rest"
        fault "$argument" "$for_time" "${subject:-}" "${value:-0}"
        ;;
    *) echo "unknown action $action" >&2 && return 2 ;;
    esac
}

fault() { # kind, time, subject, value
    "$dir/bin/lynxbench" fault "$dir" "$1" --for "$2" --subject "${3:-}" --value "${4:-0}"
    say "fault $1 ${3:-} for $2"
}

await_ready() {
    local id tries
    for ((tries = 0; tries < READY_LIMIT * 10; tries++)); do
        if "$dir/bin/lynxbench" ready "$dir" 2>"$dir/ready.out"; then return 0; fi
        for id in "${INSTANCES[@]}"; do
            alive "${pid_of[$id]}" || { tail -3 "$dir/$id.log" >&2 && return 1; }
        done
        sleep 0.1
    done
    cat "$dir/ready.out" >&2
    return 1
}

declare_profiles() {
    local file
    for file in examples/profiles/"$deployment"/*.toml; do
        "$dir/bin/lynxctl" profile set "$file" --if-version 0 --wait 10s >>"$dir/profiles.out" 2>&1 ||
            { tail -3 "$dir/profiles.out" >&2 && return 1; }
    done
}

# follow does what the schedule says, at its moments.
follow() {
    local entry at action argument rest pause
    for entry in $schedule; do
        IFS=: read -r at action argument rest <<<"$entry"
        pause=$(awk -v at="$at" -v now="$(elapsed)" 'BEGIN { d = at - now; print (d > 0 ? d : 0) }')
        sleep "$pause"
        act "$action" "$argument" "$rest"
    done
}

stop_all() {
    local id
    for id in "${!frozen[@]}"; do signal_instance "$id" CONT ""; done
    for id in "${!pid_of[@]}"; do
        if ! alive "${pid_of[$id]}"; then
            await_end "$id"
            continue
        fi
        [[ ${ending[${pid_of[$id]}]} == 0 ]] || signal_instance "$id" TERM 0
    done
    for id in "${!pid_of[@]}"; do await_end "$id"; done
    kill -TERM "$standins_pid"
    wait "$standins_pid" || wrong+=("the stand-ins ended with status $?")
    standins_pid=""
}

build
began=$EPOCHREALTIME
start_standins
for id in "${INSTANCES[@]}"; do start_instance "$id"; done
await_ready
declare_profiles
say "$instances instances are ready, profiles are declared; directory $dir"
began=$EPOCHREALTIME
"$dir/bin/lynxbench" load --attach "$dir" --rate "$rate" --duration "${duration}s" --seed "$seed" \
    --change-every "$change_every" --json "$dir/load.json" "${more[@]}" &
load_pid=$!
follow
load_status=0
wait "$load_pid" || load_status=$?
load_pid=""
stop_all
grep -h -e daemon_stop_cut "$dir"/*.log && wrong+=("a graceful stop cut requests") || true
for line in "${wrong[@]}"; do echo "broken: $line"; done
say "load ended with status $load_status; ${#wrong[@]} promises broken by processes"
if ((load_status != 0 || ${#wrong[@]} > 0)); then
    echo "logs are in $dir"
    exit 1
fi
if [[ -z $keep_dir ]]; then rm -rf "$dir"; fi
