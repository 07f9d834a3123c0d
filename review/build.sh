#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig.rs
