#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
