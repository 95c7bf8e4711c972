/** HTTP connections to upstreams: persistent for requests that may be repeated, one per request for all others. */
import { Agent, type ClientRequest, type ClientRequestArgs } from 'node:http'
import type { Socket } from 'node:net'
import { observeConnection } from '../../transports/connection-end.js'

/** Idle time after which a persistent connection is closed, milliseconds: less than the shortest `Keep-Alive` timeout that upstreams send. */
const idleTimeoutMilliseconds = 4000
/** HTTP agents for one upstream. */
export interface UpstreamAgents {
  /** Reuses connections for later requests. */
  readonly persistent: Agent
  /** Opens a connection for each request, so that no request is lost to a connection that the upstream closes while idle. */
  readonly singleUse: Agent
}

/** The parts of Node's agent that its types lack. */
interface AgentInternals {
  addRequest (request: ClientRequest, ...options: readonly unknown[]): void
}

/** Agent that closes an idle persistent connection on which bytes arrive: they could be taken for the answer to the next request. */
class CheckedAgent extends Agent {
  /** Has what has arrived on idle connections read before one of them is reused: a process that was delayed has not seen it yet. */
  addRequest (request: ClientRequest, ...options: readonly unknown[]): void {
    const add = (): void => { (Agent.prototype as unknown as AgentInternals).addRequest.call(this, request, ...options) }
    if (Object.keys(this.freeSockets).length === 0) add()
    else setImmediate(add)
  }

  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Socket) => void): Socket {
    const create = Agent.prototype as unknown as { createConnection (options: ClientRequestArgs, callback?: unknown): Socket }
    const socket = create.createConnection.call(this, options, callback)
    observeConnection(socket)
    socket.setNoDelay(true)
    return socket
  }

  override keepSocketAlive (socket: Socket): boolean {
    const isReusable = (Agent.prototype as unknown as { keepSocketAlive (socket: Socket): boolean }).keepSocketAlive.call(this, socket)
    if (!isReusable || socket.readableLength > 0) return false
    socket.once('data', closeOnUnsolicitedData)
    return true
  }

  override reuseSocket (socket: Socket, request: never): void {
    socket.off('data', closeOnUnsolicitedData)
    ;(Agent.prototype as unknown as { reuseSocket (socket: Socket, request: never): void }).reuseSocket.call(this, socket, request)
  }
}

function closeOnUnsolicitedData (this: Socket): void {
  this.destroy()
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
