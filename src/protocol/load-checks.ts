/** Checks of the values in load datagrams: anyone who reaches the port can send one. */
import type { BoxLoad, EngineGap, LoadUpdate, PromptReport, ServiceDemand } from '../core/index.js'

type Check = (value: unknown) => boolean

const isText: Check = value => typeof value === 'string'
const isNumber: Check = value => typeof value === 'number'
const isFlag: Check = value => typeof value === 'boolean'

function isList (value: unknown, isItem: Check): boolean { return Array.isArray(value) && value.every(isItem) }

function isTuple (value: unknown, checks: readonly Check[]): boolean {
  return Array.isArray(value) && value.length === checks.length && checks.every((isItem, i) => isItem(value[i]))
}

const isPair: Check = value => isTuple(value, [isNumber, isNumber])
const isAmounts: Check = value => isList(value, isPair)
const isGap: Check = value => isTuple(value, [isText, isNumber])
const isGaps: Check = value => isList(value, isGap)
const isPart: Check = value => isTuple(value, [isText, isNumber])
const isPrompt: Check = value => isTuple(value, [isText, parts => isList(parts, isPart), isFlag])

/** A load as a tuple, as it is sent. */
export const isPackedLoad: Check = value => isTuple(value, [isText, isNumber, isNumber, isNumber, isAmounts, isNumber, isNumber])

type Fields = Readonly<Record<string, Check>>

const loadFields: Fields = { endpoint: isText, running: isNumber, brisk: isNumber, memory: isNumber, waiting: isAmounts, largest: isNumber, backedOff: isNumber }

const demandFields: Fields & Readonly<Record<keyof ServiceDemand, Check>> = {
  service: isText,
  patient: isNumber,
  brisk: isNumber,
  apart: isNumber,
  base: isNumber,
  readingPauseMs: value => value === null || isNumber(value),
  held: isAmounts,
  rates: isAmounts,
  read: isNumber,
  firstEvent: isPair,
  boxCpu: isPair,
  returns: isAmounts,
  kept: isGaps,
  outcomes: value => isList(value, one => isTuple(one, [isText, isNumber, isNumber])),
  workspaces: value => isList(value, one => isTuple(one, [isText, isNumber, isNumber])),
  workspaceRest: value => isList(value, one => isTuple(one, [isNumber, isNumber, isNumber]))
}
const optionalFields = new Set<string>(['rates', 'read', 'firstEvent', 'boxCpu', 'returns', 'kept', 'outcomes', 'workspaces', 'workspaceRest'] satisfies (keyof ServiceDemand)[])

function hasFields (value: unknown, fields: Fields): value is Readonly<Record<string, unknown>> {
  if (typeof value !== 'object' || value === null) return false
  const record = value as Readonly<Record<string, unknown>>
  return Object.entries(fields).every(([name, isValid]) => (record[name] === undefined && optionalFields.has(name)) || isValid(record[name]))
}

// Rates by workspace come with the rates of the rest, or not at all.
function isDemand (value: unknown): boolean {
  return hasFields(value, demandFields) && (value.workspaces === undefined) === (value.workspaceRest === undefined)
}

const isTotal: Check = value => isDemand(value) && isNumber((value as { readonly holders?: unknown }).holders)

export function isBoxLoad (value: unknown): value is BoxLoad {
  return hasFields(value, { loads: loads => isList(loads, load => hasFields(load, loadFields)), demands: demands => isList(demands, isDemand), gaps: isGaps, prompts: prompts => isList(prompts, isPrompt) })
}

export function isTexts (value: unknown): value is string[] { return isList(value, isText) }
export function isTotals (value: unknown): value is LoadUpdate['demands'] { return isList(value, isTotal) }
export function isGapList (value: unknown): value is EngineGap[] { return isGaps(value) }
export function isPromptList (value: unknown): value is PromptReport[] { return isList(value, isPrompt) }
export function areNumbers (...values: readonly unknown[]): boolean { return values.every(isNumber) }
