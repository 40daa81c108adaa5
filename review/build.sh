#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --offline --target-dir target
