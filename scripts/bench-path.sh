#!/bin/sh
# Measures requests through a daemon against requests sent directly to the
# endpoint, with three daemons on loopback, and appends JSON lines to
# docs/measurements/path.jsonl:
#   scripts/bench-path.sh [LABEL]
# It sends 32,400 requests and takes about a minute.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked -j 4
dir=$(mktemp -d)
pids=
stop() {
    for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT INT TERM
target/release/standins world --dir "$dir" --daemons 3 --engines 1 --services 3 --data-centres 1 --seconds 120 &
pids="$!"
until [ -f "$dir/platform" ]; do sleep 0.1; done
for vm in 0 1 2; do
    target/release/chicoryreach daemon --settings "$dir/vm-$vm.json" --log-level warn &
    pids="$! $pids"
    daemons="${daemons:-} $!"
done
mkdir -p docs/measurements
target/release/standins bench-path --dir "$dir" --daemons 3 --label "${1:-path}" |
    tee -a docs/measurements/path.jsonl

# The CPU time that the daemons used for the 21,600 requests sent through them,
# including their start.
ticks=0
for pid in $daemons; do
    ticks=$((ticks + $(cut -d' ' -f14 "/proc/$pid/stat") + $(cut -d' ' -f15 "/proc/$pid/stat")))
done
cpu_us=$((ticks * 1000000 / $(getconf CLK_TCK)))
printf '{"label":"%s","requests":21600,"daemons_cpu_us_per_request":%d}\n' "${1:-path}" $((cpu_us / 21600)) |
    tee -a docs/measurements/path.jsonl
