#!/bin/sh
# Runs three daemons in two data centres between stand-ins, on loopback.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked
dir=$(mktemp -d)
pids=
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$dir"
}
trap stop EXIT INT TERM

target/release/standins world --dir "$dir" --daemons 3 --seconds 120 &
pids="$!"
until [ -f "$dir/platform" ]; do sleep 0.1; done
for vm in 0 1 2; do
    target/release/chicoryreach daemon --settings "$dir/vm-$vm.json" --log-level warn &
    pids="$! $pids"
done
target/release/standins drive --dir "$dir" --daemons 3 "$@"
