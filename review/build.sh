#!/bin/sh
# Builds the stand-ins that the scripts of this folder start; needs no network and no dependency.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
