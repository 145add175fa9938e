#!/usr/bin/env bash
# Writes the table of scenarios into docs/PROOFS.md, between its two markers.
set -euo pipefail
cd "$(dirname "$0")/.."
table=$(cargo run --quiet --locked -p standins -- proofs)
{
    sed '/<!-- stories -->/q' docs/PROOFS.md
    echo '| promise | story | file | guard | seeds |'
    echo '|---|---|---|---|---|'
    echo "$table"
    sed -n '/<!-- end of stories -->/,$p' docs/PROOFS.md
} > docs/PROOFS.md.new
mv docs/PROOFS.md.new docs/PROOFS.md
