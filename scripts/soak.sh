#!/usr/bin/env bash
# Soaks real instances on the users' platform's stand-ins in faults and checks the
# promises to clients. See docs/operators/soak.md.
#
# The stand-ins, with the clients' load, are one process, each instance of lynxhill
# is one. Only processes that this script started get signals, by their ids. Status:
# 0 if no promise was broken, else 1; 2 for usage; 130 if it was interrupted before
# a promise was broken.
set -euo pipefail

usage() {
    cat <<'TEXT'
Usage: scripts/soak.sh [options]

  --instances N   instances, 1 to 48 (4)
  --rate R        requests a second, up to 500 (40)
  --duration S    seconds of load, 10 to 600 (30)
  --seed N        seed of load, faults and signals (1)
  --world NAME    deployment and load, a file of deploy/soak/worlds (mixed)
  --program FILE  lynxhilld of another build for all instances, instead of this one
  --other FILE    lynxhilld of another build beside that: the first half of the
                  instances begin with it, and each start after a stop or a kill
                  takes the other one of the two
  --identified    late and foreign answers always state whose they are, as those of
                  a target that echoes the id do
  --severed       open connections that go silent and changes after it, no other
                  faults and no signals
  --dir DIR       directory for settings, logs and the result; kept, and has to be
                  empty or new (a temporary one, removed on success)
TEXT
}

instances=4 rate=40 duration=30 seed=1 dir="" severed="" identified="" world=mixed program="" other=""
while (($#)); do
    case "$1" in
    --help | -h) usage && exit 0 ;;
    --severed) severed=yes && shift ;;
    --identified) identified=yes && shift ;;
    --instances | --rate | --duration | --seed | --dir | --world | --program | --other)
        (($# > 1)) || { usage >&2 && exit 2; }
        declare "${1#--}=$2"
        shift 2
        ;;
    *) usage >&2 && exit 2 ;;
    esac
done
for number in "$instances" "$rate" "$duration" "$seed"; do
    [[ $number =~ ^[0-9]{1,9}$ ]] || { usage >&2 && exit 2; }
done
((instances >= 1 && instances <= 48 && rate >= 1 && rate <= 500 && duration >= 10 && duration <= 600)) || { usage >&2 && exit 2; }

for file in "$program" "$other"; do
    [[ -z $file || -x $file ]] || { echo "$file is no program" >&2 && exit 2; }
done
if [[ -n $program ]]; then program=$(realpath "$program"); fi
if [[ -n $other ]]; then other=$(realpath "$other"); fi

# Bounds: seconds, and KiB of all processes together.
readonly READY_LIMIT=20 STOP_LIMIT=20 RESULT_LIMIT=40 MEMORY_LIMIT=$((2 * 1024 * 1024))

cd "$(dirname "$0")/.."
keep_dir=$dir
if [[ -n $dir ]]; then
    mkdir -p "$dir"
    [[ -z $(ls -A "$dir") ]] || { echo "$dir isn't empty" >&2 && exit 2; }
else
    dir=$(mktemp -d)
fi
dir=$(cd "$dir" && pwd)

declare -A pid_of # instance id -> process id of the running instance
declare -A build  # instance id -> program that it runs next
declare -A frozen # instance id -> 1 while stopped by SIGSTOP
declare -A ending # process id -> status that it may end with
declare -A peak   # process id -> most KiB that it held
world_pid="" interrupted="" wrong=() ids=()
for ((n = 1; n <= instances; n++)); do ids+=("n$n"); done

say() {
    local ms
    ms=$(elapsed)
    printf '%4d.%03ds %s\n' $((ms / 1000)) $((ms % 1000)) "$*"
}
# elapsed is in ms. The shell's own numbers do, so that Ctrl-C cuts no helper off.
elapsed() { echo $(((${EPOCHREALTIME/./} - ${began/./}) / 1000)); }
alive() { [[ -n ${1:-} ]] && kill -0 "$1" 2>/dev/null; }
note() { printf '%s %s %s\n' "$EPOCHREALTIME" "$1" "$2" >>"$dir/signals.txt"; }

# cleanup ends what is left, by id. A stopped process dies of SIGKILL as well.
cleanup() {
    local pid
    for pid in "${pid_of[@]}" "$world_pid"; do
        if alive "$pid"; then kill -KILL "$pid" 2>/dev/null || true; fi
    done
    wait 2>/dev/null || true
}
trap cleanup EXIT
trap 'interrupted=yes' INT TERM
began=$EPOCHREALTIME

# doze waits; a signal ends it early.
doze() {
    local sleeper
    [[ -z $interrupted ]] || return 0
    sleep "$1" &
    sleeper=$!
    wait "$sleeper" || true
    if alive "$sleeper"; then kill "$sleeper" 2>/dev/null || true; fi
}

# A session of its own keeps Ctrl-C for this script, which ends its processes in
# order; they die with it if it is killed.
readonly APART=(setsid setpriv --pdeathsig KILL)

start_world() {
    "${APART[@]}" "$dir/bin/soak" --dir "$dir" --instances "$instances" --rate "$rate" \
        --duration "${duration}s" --seed "$seed" --world "$world" ${severed:+-severed} ${identified:+-identified} world >"$dir/world.log" 2>&1 &
    world_pid=$!
    local tries
    for ((tries = 0; tries < READY_LIMIT * 20; tries++)); do
        if [[ -e $dir/plan.json ]]; then return 0; fi
        alive "$world_pid" || break
        sleep 0.05 || true
    done
    cat "$dir/world.log" >&2
    return 1
}

# start_instance starts an instance once the one before at its addresses is gone.
start_instance() { # id, name of the settings
    local id=$1
    await_end "$id"
    note "$id" START
    if [[ -n $other ]]; then echo "$EPOCHREALTIME $id ${build[$id]}" >>"$dir/builds.txt"; fi
    "${APART[@]}" "${build[$id]}" run --config "$dir/$2.toml" >>"$dir/$id.log" 2>>"$dir/$id.err" &
    pid_of[$id]=$!
    ending[$!]=none
    if [[ -n $other ]]; then
        if [[ ${build[$id]} == "$other" ]]; then build[$id]=$program; else build[$id]=$other; fi
    fi
}

# await_end waits for the end of an instance that was told to end, and checks its
# status.
await_end() {
    local id=$1 pid=${pid_of[$1]:-} tries status=0
    [[ -n $pid ]] || return 0
    for ((tries = 0; tries < STOP_LIMIT * 20; tries++)); do
        alive "$pid" || break
        sleep 0.05 || true
    done
    if alive "$pid"; then
        wrong+=("$id (process $pid) did not end within $STOP_LIMIT s")
        note "$id" KILL
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
        wrong+=("$id was not running when SIG$2 was due")
        return 0
    fi
    if [[ -n $3 ]]; then ending[$pid]=$3; fi
    note "$id" "$2"
    kill -"$2" "$pid"
    say "SIG$2 to $id (process $pid)"
}

# reload_instance toggles address_ttl, a reloadable setting, in the settings file of an
# instance and sends SIGHUP if the instance is running.
reload_instance() { # id
    if grep -q 'address_ttl = "2s"' "$dir/$1.toml"; then
        sed -i 's/address_ttl = "2s"/address_ttl = "1s"/' "$dir/$1.toml"
    else
        sed -i 's/address_ttl = "1s"/address_ttl = "2s"/' "$dir/$1.toml"
    fi
    if alive "${pid_of[$1]:-}"; then signal_instance "$1" HUP ""; fi
}

act() { # action, id
    case "$1" in
    kill) signal_instance "$2" KILL 137 ;;
    term) signal_instance "$2" TERM 0 ;;
    freeze) signal_instance "$2" STOP "" && frozen[$2]=1 ;;
    thaw) signal_instance "$2" CONT "" && unset "frozen[$2]" ;;
    start) start_instance "$2" "$2" && say "started $2 (process ${pid_of[$2]})" ;;
    restart) act kill "$2" && act start "$2" ;;
    reload) reload_instance "$2" ;;
    esac
}

# plan_signals prints "MILLISECONDS ACTION ID" from the seed: all instances are
# killed at once, or at most half of them are hurt at a time, each is whole again
# for 2.5 s before it is hurt again, and all are well for the last seconds.
plan_signals() {
    local at=1000 last=$((duration * 1000 - 3000)) id whole="" i kind length hurt
    declare -A free
    RANDOM=$seed
    for id in "${ids[@]}"; do free[$id]=0; done
    while ((at < last - 4500)); do
        i=$((RANDOM % instances)) kind=$((RANDOM % 4)) length=$((500 + RANDOM % 3500)) hurt=0
        id=${ids[$i]}
        for whole in "${ids[@]}"; do if ((free[$whole] > at + 2500)); then hurt=$((hurt + 1)); fi; done
        if ((free[$id] <= at && hurt < (instances + 1) / 2)); then
            case $kind in
            0) if ((RANDOM % 4 == 0 && hurt == 0)); then
                # Kill all instances at once and restart each after its own delay.
                for id in "${ids[@]}"; do
                    if ((free[$id] <= at)); then
                        length=$((300 + RANDOM % 700))
                        printf '%s kill %s\n%s start %s\n' $at "$id" $((at + length)) "$id"
                        free[$id]=$((at + length + 2500))
                    fi
                done
                at=$((at + 3000))
                continue
            fi
            printf '%s kill %s\n%s start %s\n' $at "$id" $((at + length)) "$id" ;;
            1) printf '%s term %s\n%s start %s\n' $at "$id" $((at + 4000)) "$id" && length=4000 ;;
            2) printf '%s freeze %s\n%s thaw %s\n' $at "$id" $((at + length)) "$id" ;;
            3) printf '%s restart %s\n' $at "$id" && length=300 ;;
            esac
            free[$id]=$((at + length + 2500))
        fi
        at=$((at + 300 + RANDOM % 1200))
    done
    # Reloads are scheduled independently of the other signals, so they also hit
    # instances that are stopping or frozen. A separate seed keeps the schedule of the
    # other signals unchanged.
    RANDOM=$((seed + 4711))
    for ((at = 1500; at < last - 1500; at += 1500 + RANDOM % 3000)); do
        printf '%s reload %s\n' $at "${ids[$((RANDOM % instances))]}"
    done
}

# measure notes the most memory that each process held. Where the sum is above the
# bound, the run ends.
measure() {
    local pid held sum=0
    for pid in "${pid_of[@]}" "$world_pid"; do
        held=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$pid/status" 2>/dev/null || true)
        peak[$pid]=${held:-${peak[$pid]:-0}}
        sum=$((sum + peak[$pid]))
    done
    if ((sum > ${most:-0})); then most=$sum; fi
    if ((sum > MEMORY_LIMIT)); then
        wrong+=("the processes held $sum KiB, more than $MEMORY_LIMIT")
        return 1
    fi
}

# follow does what was planned, at its moments.
follow() {
    local at action id pause
    while read -r -u 3 at action id; do
        pause=$((at - $(elapsed)))
        if ((pause > 0)); then doze "$((pause / 1000)).$(printf %03d $((pause % 1000)))"; fi
        if [[ -n $interrupted ]] || ! measure; then return 0; fi
        act "$action" "$id"
    done 3<"$dir/schedule.txt"
}

thaw_all() {
    local id
    for id in "${!frozen[@]}"; do act thaw "$id"; done
}

# await_result waits for the verdict. An interrupt is handed on to the stand-ins,
# which end the load then; the instances serve until that is done.
await_result() {
    local tries told=""
    for ((tries = 0; tries < (duration + RESULT_LIMIT) * 10; tries++)); do
        if [[ -e $dir/result.txt ]]; then return 0; fi
        if ! alive "$world_pid"; then
            wrong+=("the stand-ins ended without a result, see $dir/world.log")
            return 0
        fi
        if [[ -n $interrupted && -z $told ]]; then
            told=yes
            thaw_all
            kill -INT "$world_pid"
        fi
        sleep 0.1 || true
        if ((tries % 10 == 0)) && ! measure; then return 0; fi
    done
    wrong+=("no result within $RESULT_LIMIT s after the load")
}

stop_all() {
    local id status=0
    thaw_all
    for id in "${!pid_of[@]}"; do
        if [[ ${ending[${pid_of[$id]}]} == none ]]; then signal_instance "$id" TERM 0; fi
    done
    for id in "${!pid_of[@]}"; do await_end "$id"; done
    if alive "$world_pid"; then kill -TERM "$world_pid"; fi
    wait "$world_pid" || status=$?
    ((status == 0)) || wrong+=("the stand-ins ended with status $status")
    world_pid=""
}

# explain_broken gathers what the logs say of each request whose promise was broken.
explain_broken() {
    local id
    for id in $(awk '$1 == "broken:" { print $3 }' "$dir/result.txt" | sort -u | head -20); do
        "$dir/bin/lynxctl" explain "$id" "$dir"/n*.log >"$dir/explain-$id.txt" 2>&1 || true
    done
}

go build -o "$dir/bin/" ./cmd/lynxhilld ./cmd/lynxctl ./deploy/soak
program=${program:-$dir/bin/lynxhilld}
for ((n = 1; n <= instances; n++)); do
    build[n$n]=$program
    if [[ -n $other ]] && ((n <= instances / 2)); then build[n$n]=$other; fi
done
: >"$dir/signals.txt"
if [[ -z $severed ]]; then plan_signals; fi >"$dir/schedule.unsorted"
sort -n -s "$dir/schedule.unsorted" >"$dir/schedule.txt"
rm "$dir/schedule.unsorted"
began=$EPOCHREALTIME
start_world
"$dir/bin/soak" --dir "$dir" --world "$world" settings
for id in "${ids[@]}"; do start_instance "$id" "$id"; done
"$dir/bin/soak" --dir "$dir" ready
say "$instances instances are ready; seed $seed, directory $dir"
began=$EPOCHREALTIME
touch "$dir/go"
follow
await_result
cat "$dir/result.txt" 2>/dev/null || true
say "signals and starts: $(cut -d' ' -f3 "$dir/signals.txt" | sort | uniq -c | awk '{ printf "%s%s %s", (NR > 1 ? ", " : ""), $2, $1 }')"
cut_before=$(cat "$dir"/n*.log | grep -c 'event=4223 .*cut=[1-9]' || true)
stop_all
cut=$(cat "$dir"/n*.log | grep -c 'event=4223 .*cut=[1-9]' || true)
if [[ -n $interrupted ]]; then cut=$cut_before; fi
((cut == 0)) || wrong+=("$cut graceful stops cut requests (event 4223)")
for id in "${ids[@]}"; do
    if [[ -s $dir/$id.err ]]; then wrong+=("$id wrote to its standard error, see $dir/$id.err"); fi
done
for line in "${wrong[@]}"; do echo "wrong: $line"; done
say "at most $((${most:-0} / 1024)) MiB in all; ${#wrong[@]} wrong by processes"
if [[ ! -e $dir/result.txt ]] || ((${#wrong[@]} > 0)) || grep -q -e '^broken:' -e '^wrong:' "$dir/result.txt"; then
    if [[ -e $dir/result.txt ]]; then explain_broken; fi
    echo "logs are in $dir"
    exit 1
fi
if [[ -z $keep_dir ]]; then rm -rf "$dir"; fi
if [[ -n $interrupted ]]; then
    echo "interrupted: no verdict"
    exit 130
fi
