#!/bin/bash
# Builds the operators' program (turntally registry, turntally controller), which the build of the deploy file leaves
# out. The result is review/out/turntally. The cases' other stand-ins are Python scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/out -DCMAKE_BUILD_TYPE=Release -DTURNTALLY_BUILD_TOOLS=ON -DTURNTALLY_BUILD_TESTS=OFF
cmake --build review/out -j4 --target turntally
