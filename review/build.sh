#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
rustc --edition 2024 -O -o .build/standins kit/main.rs
