#!/usr/bin/env bash
# Runs every test. Tests listed in KNOWN-RED.txt may fail; their names are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# A line of KNOWN-RED.txt that starts with "test: " names one test.
mapfile -t red < <(sed -n 's/^test: *\([^ ,]*\).*/\1/p' KNOWN-RED.txt)
skip=()
for name in "${red[@]}"; do skip+=(--skip "$name"); done
for name in "${red[@]}"; do
    echo "known red, not counted: $name"
    cargo test --workspace --locked --tests -- "$name" || true
done
cargo test --workspace --locked -- "${skip[@]}"
