#!/bin/bash
# Builds the stand-ins that the scripts review/6 to review/10 start. They use the standard library alone, so no network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
