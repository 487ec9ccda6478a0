#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain modules in review/stand-2/ and need no build:
# this checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in stand-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
