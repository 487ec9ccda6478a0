/** The load of the other boxes: the hub's totals minus this box's own contribution. */
import { addKept } from './kept-slots.js'
import { addAmounts } from './load-sum.js'
import { addOutcomes } from './recent-outcomes.js'
import { WorkspaceSum } from './workspace-demand.js'
import type { BoxLoad, EndpointLoad, LoadTotals, ServiceDemand, ServiceTotal } from './box-load.js'

/**
 * Subtracts a box's own report from totals that include it. If `own` is null, the totals are returned unchanged,
 * and the box briefly counts its own load twice.
 */
export function subtractOwn (totals: LoadTotals, own: BoxLoad | null): LoadTotals {
  if (own === null) return totals
  const ownLoads = new Map(own.loads.map(load => [load.endpoint, load]))
  const ownDemands = new Map(own.demands.map(demand => [demand.service, demand]))
  return {
    ...totals,
    loads: totals.loads.map(load => subtractLoad(load, ownLoads.get(load.endpoint))).filter(load => load.running > 0 || load.backedOff > 0),
    demands: totals.demands.map(demand => subtractDemand(demand, ownDemands.get(demand.service)))
  }
}

function subtractLoad (sum: EndpointLoad, own: EndpointLoad | undefined): EndpointLoad {
  if (own === undefined) return sum
  return {
    ...sum,
    running: sum.running - own.running,
    brisk: Math.max(0, sum.brisk - own.brisk),
    memory: Math.max(0, sum.memory - own.memory),
    waiting: addAmounts(sum.waiting, own.waiting, -1),
    backedOff: Math.max(0, sum.backedOff - own.backedOff)
  }
}

// The counts of dedicated engines stay, as they are maxima: if the maximum is this box's own, it agrees to it anyway.
function subtractDemand (sum: ServiceTotal, own: ServiceDemand | undefined): ServiceTotal {
  if (own === undefined) return sum
  const { kept, outcomes, ...rest } = sum
  return {
    ...rest,
    ...addKept(kept, own.kept, -1),
    ...addOutcomes(outcomes, own.outcomes, -1),
    patient: Math.max(0, sum.patient - own.patient),
    brisk: Math.max(0, sum.brisk - own.brisk),
    held: addAmounts(sum.held, own.held, -1),
    rates: addAmounts(sum.rates ?? [], own.rates ?? [], -1),
    read: Math.max(0, (sum.read ?? 0) - (own.read ?? 0)),
    ...(sum.returns === undefined ? {} : { returns: addAmounts(sum.returns, own.returns ?? [], -1) }),
    ...(sum.workspaces === undefined ? {} : new WorkspaceSum().add(sum).subtract(own).list()),
    holders: sum.holders - (own.held.length > 0 ? 1 : 0)
  }
}
