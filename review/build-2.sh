#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler alone: they need no library and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" -O --edition 2024 -o target/review-2/peers-2 review/peers-2/main.rs
