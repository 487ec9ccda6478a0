#!/usr/bin/env bash
# A gateway is stopped as planned while streams wait in it for a free runner. TROUBLE=0: it is not stopped.
cd "$(dirname "$0")" && exec node case.mjs
