#!/usr/bin/env bash
# Measures the cost of a daemon's control work with 6 to 96 daemons, which
# run as plain processes on loopback, and writes docs/measurements/control.*.
# Takes less than four minutes. OUT=DIR writes to another folder.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked -j 4
out=${OUT:-docs/measurements}
sizes=${SIZES:-6 12 24 48 96}
mkdir -p "$out"
: >"$out/control.jsonl"
pids=()
dir=
stop() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
    if [ -n "$dir" ]; then rm -rf "$dir"; fi
}
trap stop EXIT INT TERM

for size in $sizes; do
    dir=$(mktemp -d)
    target/release/standins bench-control --dir "$dir" --daemons "$size" >"$dir/line" &
    bench=$!
    pids=("$bench")
    until [ -f "$dir/platform" ]; do sleep 0.1; done
    for ((vm = 0; vm < size; vm++)); do
        target/release/chicoryreach daemon --settings "$dir/vm-$vm.json" --log-level error 2>/dev/null &
        pids+=("$!")
        echo "$!" >"$dir/vm-$vm.pid"
    done
    wait "$bench"
    cat "$dir/line" >>"$out/control.jsonl"
    stop
done
target/release/standins bench-control-report --lines "$out/control.jsonl" \
    --table "$out/control.md" --plot "$out/control.svg"
cat "$out/control.md"
