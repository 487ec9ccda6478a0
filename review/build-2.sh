#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain modules beside this file and need no build:
# this checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in *-2.mjs [6-9]/*.mjs; do
  node --check "$file"
done
