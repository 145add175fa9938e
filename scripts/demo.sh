#!/bin/sh
# Runs three daemons in two data centres on loopback, with stand-ins for the
# endpoints, platform and callers, and injects one fault under load:
#   scripts/demo.sh [none|kill|freeze|terminate|platform|lost-answers] [drive's options]
set -eu
cd "$(dirname "$0")/.."
fault=none
case "${1:-}" in
    none | kill | freeze | terminate | platform | lost-answers) fault=$1; shift ;;
esac
cargo build --release --workspace --locked
dir=$(mktemp -d)
pids=
stop() {
    for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT INT TERM

start_daemon() {
    target/release/chicoryreach daemon --settings "$dir/vm-$1.json" --log-level warn &
    pids="$! $pids"
}

# Injects the fault at the last daemon, or at the platform.
play_fault() {
    while [ ! -f "$dir/driving" ] && kill -0 "$drive" 2>/dev/null; do sleep 0.1; done
    sleep 0.5
    echo "fault: $fault"
    case $fault in
        kill) kill -KILL "$1"; sleep 2; start_daemon 2 ;;
        freeze) kill -STOP "$1"; sleep 12; kill -CONT "$1" ;;
        terminate) kill -TERM "$1" ;;
        platform) target/release/standins fault --dir "$dir" --down --for-ms 6000 ;;
        lost-answers) target/release/standins fault --dir "$dir" --lose-answers 4 --for-ms 6000 ;;
    esac
}

target/release/standins world --dir "$dir" --daemons 3 --seconds 120 &
pids="$!"
until [ -f "$dir/platform" ]; do sleep 0.1; done
for vm in 0 1 2; do start_daemon $vm; done
last=${pids%% *}
target/release/standins drive --dir "$dir" --daemons 3 "$@" &
drive=$!
pids="$drive $pids"
[ "$fault" = none ] || play_fault "$last"
wait "$drive"
