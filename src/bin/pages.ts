#!/usr/bin/env node
/** Writes docs/ERRORS.md and docs/CONFIG.md from the tables in the code. */
import { writeFileSync } from 'node:fs'
import { composePages } from '../report/index.js'

for (const [path, text] of composePages()) writeFileSync(path, text)
