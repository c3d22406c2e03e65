#!/bin/sh
# Builds the stand-ins and the cases of the second review. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-type lib --crate-name stand -o "$out/libstand.rlib" review/stand-2/stand.rs
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/main.rs" ]; then
        rustc --edition 2024 -O --crate-name "case_${case#review/}" -o "$out/case-${case#review/}" "$case/main.rs" \
            --extern "stand=$out/libstand.rlib"
    fi
done
