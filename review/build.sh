#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build of the deploy file; it needs no network then.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
