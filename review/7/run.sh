#!/usr/bin/env bash
# Two machines of the core that have successors are taken away as planned, one after the other. TROUBLE=0: they stay.
cd "$(dirname "$0")" && exec node case.mjs
