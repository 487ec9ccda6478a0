#!/usr/bin/env bash
# The core is replaced machine by machine, four times around; then a route is moved. TROUBLE=0: without the replacements.
cd "$(dirname "$0")" && exec node case.mjs
