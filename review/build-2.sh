#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, those of the project among them.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
