/** Configurations of a given size, as operators write them to the platform's log. */

/** Encodes a configuration; 2,000 routes take a third of a megabyte. */
export function encodeConfiguration (version: number, routes: number): Buffer {
  return Buffer.from(JSON.stringify({
    version,
    routes: Array.from({ length: routes }, (_, index) => ({
      name: `route-${index}`,
      host: `host-${index % 40}.example`,
      'path-prefix': `/${index.toString(36)}/${(index * 7919 % 46_656).toString(36)}/`,
      service: 'ledger',
      'route-type': 'safe',
      'timeout-ms': 1500,
      'latency-goal-ms': 144,
      'max-attempts': 2,
      priority: 1
    })),
    services: [{ name: 'ledger', 'max-conns': 520 }],
    tenants: [],
    limits: {}
  }))
}
