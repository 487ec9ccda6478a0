/**
 * The replicated state of the keepers: configuration, claims, leases on duties,
 * usage, the routing document and repairs, combined into one state machine on the log.
 */
import { ClaimTable } from './claims/claim-table.js'
import type { ClaimBounds, ClaimTableState } from './claims/claim-table.js'
import type { ClaimCommand, ClaimResult } from './claims/claim-types.js'
import { ConfigLedger } from './ledger/config-ledger.js'
import type { LedgerBounds, LedgerState } from './ledger/config-ledger.js'
import type { LedgerCommand, LedgerResult } from './ledger/ledger-types.js'
import { DocumentRegister } from './ledger/document-register.js'
import type { DocumentCommand, DocumentResult, VersionedText } from './ledger/document-register.js'
import { LeaseTable } from './leases/lease-table.js'
import type { LeaseTableState, LeaseCommand, LeaseResult } from './leases/lease-table.js'
import { RepairRegister } from './repairs/repair-register.js'
import type { RepairCommand, RepairRegisterState, RepairResult } from './repairs/repair-register.js'
import { UsageLedger } from './usage/usage-ledger.js'
import type { UsageCommand, UsageLedgerState, UsageResult } from './usage/usage-ledger.js'

/** A command in the keepers' replicated log, addressed to one part of the state. */
export type KeeperCommand =
  | { readonly part: 'claims', readonly command: ClaimCommand }
  | { readonly part: 'config', readonly command: LedgerCommand }
  | { readonly part: 'leases', readonly command: LeaseCommand }
  | { readonly part: 'usage', readonly command: UsageCommand }
  | { readonly part: 'routing', readonly command: DocumentCommand }
  | { readonly part: 'repairs', readonly command: RepairCommand }

/** Result of a command. */
export type KeeperResult = ClaimResult | LedgerResult | LeaseResult | UsageResult | DocumentResult | RepairResult

/** Limits of the parts that have any. */
export interface KeeperBounds {
  readonly claims: ClaimBounds
  readonly config: LedgerBounds
}

export const defaultBounds: KeeperBounds = {
  claims: { retentionMs: 24 * 3_600_000, maxTotalAnswerBytes: 64 * 2 ** 20, maxAnswerBytes: 64 * 2 ** 10 },
  config: { maxRevisions: 1024, retentionMs: 24 * 3_600_000, maxResults: 100_000 }
}

/** The complete state as stored in a snapshot. */
export interface KeeperSnapshot {
  readonly claims: ClaimTableState
  readonly config: LedgerState
  /** `leases` and `usage` are absent in snapshots written by versions without duties. */
  readonly leases?: LeaseTableState
  readonly usage?: UsageLedgerState
  /** Absent in snapshots written by versions without a routing document. */
  readonly routing?: VersionedText | null
  /** Absent in snapshots written by versions that did not record repairs. */
  readonly repairs?: RepairRegisterState
}

export class KeeperState {
  readonly claims: ClaimTable
  readonly config: ConfigLedger
  readonly leases: LeaseTable
  readonly usage: UsageLedger
  readonly routing: DocumentRegister
  readonly repairs: RepairRegister

  constructor (bounds: KeeperBounds, snapshot: KeeperSnapshot | null) {
    this.claims = new ClaimTable(bounds.claims, snapshot?.claims)
    this.config = new ConfigLedger(bounds.config, snapshot?.config)
    this.leases = new LeaseTable(snapshot?.leases)
    this.usage = new UsageLedger(snapshot?.usage)
    this.routing = new DocumentRegister(snapshot?.routing)
    this.repairs = new RepairRegister(snapshot?.repairs)
  }

  /** Applies a committed command at its log entry's time, ms since 1970. */
  apply (command: KeeperCommand, time: number): KeeperResult {
    switch (command.part) {
      case 'claims': return this.claims.apply(command.command, time)
      case 'config': return this.config.apply(command.command, time)
      case 'leases': return this.leases.apply(command.command)
      case 'usage': return this.usage.apply(command.command)
      case 'routing': return this.routing.apply(command.command)
      case 'repairs': return this.repairs.apply(command.command)
    }
  }

  save (): KeeperSnapshot {
    return { claims: this.claims.save(), config: this.config.save(), leases: this.leases.save(), usage: this.usage.save(), routing: this.routing.save(), repairs: this.repairs.save() }
  }
}
