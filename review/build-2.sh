#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. It needs no network: its one library
# is among those of the main build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
