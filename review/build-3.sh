#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start beside the build of deploy/balancer.toml. The stand-ins
# are Python scripts of the standard library, so there is nothing to compile: this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in peers-3/*.py 1[1-5]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../build/turntally-relay || { echo 'build/turntally-relay is missing: run the build of deploy/balancer.toml first' >&2; exit 2; }
