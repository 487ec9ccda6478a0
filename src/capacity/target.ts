/** The deployment size to design for; `bound*` are the users' limits on the control overhead of a node. */
export const target = {
  nodes: 600,
  engines: 12_000,
  accelerators: 24_000,
  requestsPerSecond: 14_000,
  tokensPerSecond: 4_900_000,
  workspaces: 4800,
  models: 19,
  regions: 4,
  zones: 15,
  changesPerDay: 29_000,
  failuresPerDay: 110,
  restartsPerDay: 690,
  boundCorePercent: 2.7,
  boundMegabytes: 256,
  boundBytesPerSecond: 11_000,
  boundControlBoxes: 38
} as const

export const daySeconds = 86_400
