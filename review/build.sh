#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases; they are plain modules for Node.js and need no other build. The program under test is built by the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-in/*.mjs review/[1-5]/*.mjs; do
  node --check "$file"
done
if [ ! -f target/pollendyke.cjs ]; then
  echo 'target/pollendyke.cjs is missing: run the line build of deploy/system.toml first' >&2
  exit 1
fi
echo 'stand-ins and scripts are ready'
