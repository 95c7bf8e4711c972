/** HTTP connections to upstreams: persistent for requests that may be repeated, one per request for all others. */
import type { Agent } from 'node:http'
import { CheckedAgent } from '../../transports/checked-agent.js'

/** Idle time after which a persistent connection is closed, milliseconds: less than the shortest `Keep-Alive` timeout that upstreams send. */
const idleTimeoutMilliseconds = 4000
/** HTTP agents for one upstream. */
export interface UpstreamAgents {
  /** Reuses connections for later requests. */
  readonly persistent: Agent
  /** Opens a connection for each request, so that no request is lost to a connection that the upstream closes while idle. */
  readonly singleUse: Agent
}

/** HTTP agents of all upstreams, by id. */
export class UpstreamConnections {
  private readonly agents = new Map<string, UpstreamAgents>()

  /** Agents for an upstream that accepts `maximumConnections` from all `entries` together, 0 for no limit. Each of the two opens half of this entry's share, and at least one. */
  agentsFor (id: string, maximumConnections: number, entries: number): UpstreamAgents {
    const agents = this.agents.get(id) ?? {
      persistent: new CheckedAgent({ keepAlive: true, timeout: idleTimeoutMilliseconds, scheduling: 'lifo' }),
      singleUse: new CheckedAgent({ keepAlive: false })
    }
    this.agents.set(id, agents)
    const share = maximumConnections === 0 ? Infinity : Math.max(1, Math.floor(maximumConnections / Math.max(1, entries) / 2))
    agents.persistent.maxSockets = share
    agents.singleUse.maxSockets = share
    return agents
  }

  /** Closes the idle connections of upstreams that are not in `ids`; their requests in progress continue. */
  retainOnly (ids: ReadonlySet<string>): void {
    for (const [id, { persistent }] of this.agents) {
      if (ids.has(id)) continue
      for (const sockets of Object.values(persistent.freeSockets)) {
        for (const socket of sockets ?? []) socket.destroy()
      }
      this.agents.delete(id)
    }
  }
}
