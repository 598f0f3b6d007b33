#!/bin/sh
# The stand-ins of the scripts (review/*.mjs) are plain JavaScript for Node 20 without dependencies, so nothing has to be compiled.
# This checks that they and the cases can be read, and that the build of the deploy file has left its program.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
    node --check "$file"
done
test -f ../target/node.cjs || { echo "build the deploy file first: fleetbench build" >&2; exit 1; }
