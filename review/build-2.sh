#!/bin/bash
# Builds the stand-ins and drivers of the cases 4 to 8 into target/review-2. They use the standard
# library alone, so no package is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/kit-2/main.rs
