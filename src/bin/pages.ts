#!/usr/bin/env node
/** Generates the reference pages on errors and settings in docs/ from the tables in the code. */
import { writeFileSync } from 'node:fs'
import { composePages } from '../report/index.js'

for (const [path, text] of composePages()) writeFileSync(path, text)
