#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig-2/Cargo.toml --target-dir target/rig-2
