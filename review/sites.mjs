// A configuration as on llanta-red (SYSTEM.md), with the example of PROTOCOL.md as its pattern.

const limits = { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }

export const host = 'ficu95.example'

export function composeRoute (name, pathPrefix, routeKind, service, extra = {}) {
  return { name, host, pathPrefix, routeKind, timeoutMs: 4000, sloMs: 386, priority: 1, service, maxAttempts: routeKind === 'idempotent' ? 2 : 1, public: false, sticky: false, resumable: false, ...extra }
}

export function composeConfig (version, extra = {}) {
  return {
    version,
    routes: [composeRoute('reserva-bahia', '/reserva/', 'non_idempotent', 'taller-app'), composeRoute('consulta-stock', '/stock/', 'idempotent', 'taller-app')],
    services: [{ name: 'taller-app', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false }],
    limits,
    tenants: [{ name: 'hule930', apiKeys: ['n2ctnfzs989anu6wsjnb'], priority: 1 }, { name: 'fida11', apiKeys: ['anfqasnmgkcuyj8pjbvk'], priority: 1 }],
    ...extra
  }
}

/** Composes requests on a route, for clients. */
export function composeRequests (pathPrefix, key = 'n2ctnfzs989anu6wsjnb', timeoutMs = 4000) {
  return () => ({ path: `${pathPrefix}2f`, headers: { Host: host, Authorization: `Token ${key}`, 'Content-Type': 'text/plain' }, body: Buffer.from('fitting bay 3, 10:30'), timeoutMs })
}
