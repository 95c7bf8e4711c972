/** Connections to upstreams: kept where a repeat is harmless, fresh where it is not. */
import { Agent, type ClientRequestArgs } from 'node:http'
import type { Socket } from 'node:net'

/** Longest idle time after which a kept connection is used again, milliseconds: under the shortest `Keep-Alive` that upstreams state. */
const idleTimeoutMilliseconds = 4000
/** Part of an upstream's connections that one entry may use, whatever the number of entries. */
const minimumConnections = 4

/** Connections to one upstream. */
export interface UpstreamAgents {
  /** Keeps connections open for the next request. */
  readonly persistent: Agent
  /** Opens one connection for each request. */
  readonly singleUse: Agent
}

/** Marks of a socket that its answers need. */
interface SocketState {
  hasFailed: boolean
  hasEnded: boolean
}

const socketStates = new WeakMap<object, SocketState>()

/** Whether a socket failed, or was closed in order by the other side. */
export function socketStateOf (socket: object | null | undefined): Readonly<SocketState> {
  return (socket === null || socket === undefined ? undefined : socketStates.get(socket)) ?? { hasFailed: false, hasEnded: false }
}

/** Agent whose kept connections are closed when bytes arrive that no request asked for. */
class CheckedAgent extends Agent {
  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Socket) => void): Socket {
    const create = Agent.prototype as unknown as { createConnection (options: ClientRequestArgs, callback?: unknown): Socket }
    const socket = create.createConnection.call(this, options, callback)
    const marks: SocketState = { hasFailed: false, hasEnded: false }
    socketStates.set(socket, marks)
    // The first listeners: the HTTP parser takes a reset for the end of an answer without a length.
    socket.prependListener('error', () => { marks.hasFailed = true })
    socket.prependListener('end', () => { marks.hasEnded = true })
    socket.setNoDelay(true)
    return socket
  }

  override keepSocketAlive (socket: Socket): boolean {
    const isKept = (Agent.prototype as unknown as { keepSocketAlive (socket: Socket): boolean }).keepSocketAlive.call(this, socket)
    if (!isKept || socket.readableLength > 0) return false
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

/** Agents of all upstreams, by id. */
export class UpstreamConnections {
  private readonly agents = new Map<string, UpstreamAgents>()

  /** Agents for an upstream; `most` connections of all callers, 0 for no bound, among `entries`. */
  agentsFor (id: string, most: number, entries: number): UpstreamAgents {
    const known = this.agents.get(id)
    if (known !== undefined) return known
    const maxSockets = most === 0 ? Infinity : Math.max(minimumConnections, Math.floor(most / Math.max(1, entries)))
    const made = {
      persistent: new CheckedAgent({ keepAlive: true, maxSockets, timeout: idleTimeoutMilliseconds, scheduling: 'lifo' }),
      singleUse: new CheckedAgent({ keepAlive: false, maxSockets })
    }
    this.agents.set(id, made)
    return made
  }

  /** Closes idle connections of upstreams that are gone; requests on the others go on. */
  retainOnly (ids: ReadonlySet<string>): void {
    for (const [id, { persistent: kept }] of this.agents) {
      if (ids.has(id)) continue
      for (const sockets of Object.values(kept.freeSockets)) {
        for (const socket of sockets ?? []) socket.destroy()
      }
      this.agents.delete(id)
    }
  }
}
