#!/bin/sh
# Builds the stand-ins and drivers of the cases, the project's own stand-ins too.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
