/**
 * Connections to the upstream. Each is opened by a question for the upstream's identity and carries work only
 * after the answer; none is ever opened by a request. A connection to a dead process cannot reach its successor,
 * so no request runs on an incarnation that the agent has not seen.
 */
import { Agent, type ClientRequestArgs } from 'node:http'
import type { Duplex } from 'node:stream'
import { z } from 'zod'
import { requestJson, StatusError } from '../../transports/http-client.js'
import { engineStateSchema, type EngineState } from '../../types/platform.js'

const identityTimeoutMilliseconds = 1000
const maximumPastIncarnations = 64
const maximumIdleMilliseconds = 2000

/** What an upstream says of itself; `engine` is undefined for a plain service. */
export interface UpstreamIdentity {
  /** Changes each time the upstream starts; empty when it states none. */
  readonly incarnation: string
  /** Requests that the upstream itself counts. */
  readonly running: number
  readonly engine: EngineState | undefined
}

const loadSchema = z.object({ running: z.number().int().nonnegative().default(0), incarnation: z.string().default('') })

/** An HTTP agent with one socket, which it opens once. */
class SingleSocketAgent extends Agent {
  private hasOpened = false
  isClosed = false

  constructor () {
    super({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  }

  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Duplex) => void): Duplex | null | undefined {
    if (this.hasOpened) {
      callback?.(new Error('the connection is closed'), undefined as unknown as Duplex)
      return undefined
    }
    this.hasOpened = true
    const socket = super.createConnection(options, callback)
    socket?.once('close', () => { this.isClosed = true })
    return socket
  }
}

/** One connection to one incarnation of the upstream. */
export class VerifiedConnection {
  /** Epoch milliseconds until which it may wait for work; upstreams close connections that idle. */
  idleUntil = 0

  constructor (readonly agent: SingleSocketAgent, readonly incarnation: string) {}

  get isClosed (): boolean {
    return this.agent.isClosed
  }

  close (): void {
    this.agent.destroy()
  }
}

/** Asks for the upstream's identity over `agent`; `path` is `/state` for an engine and `/load` for a plain service. */
async function fetchIdentity (upstream: string, path: '/state' | '/load', agent: Agent, deadline: number): Promise<UpstreamIdentity> {
  try {
    const answer = await requestJson({ url: `${upstream}${path}`, method: 'GET', deadline, agent })
    if (path === '/load') return { ...loadSchema.parse(answer), engine: undefined }
    const engine = engineStateSchema.parse(answer)
    return { incarnation: engine.incarnation, running: engine.running, engine }
  } catch (error) {
    const statesNothing = path === '/load' && error instanceof StatusError && error.status === 404
    if (!statesNothing) throw error
    return { incarnation: '', running: 0, engine: undefined }
  }
}

/** What the owner of the connections learns. */
export interface ConnectionsObserver {
  /** Called for each answer about the upstream, before any work uses it; `isNew` when the incarnation differs from the last. */
  identityReceived (identity: UpstreamIdentity, isNew: boolean): void
  /** A new connection was not accepted, or nobody said who is there; `isRefused` when nothing listens. */
  upstreamUnreachable (isRefused: boolean): void
}

/** Pool of verified connections. */
export class UpstreamConnections {
  private incarnation: string | undefined
  private readonly pastIncarnations = new Set<string>()
  private readonly inUse = new Set<VerifiedConnection>()
  private idle: readonly VerifiedConnection[] = []
  private probeAgent: SingleSocketAgent | undefined
  private lastRequestNumber = 0
  /** Number of the latest question whose answer was learned. */
  private lastAppliedNumber = 0

  constructor (private readonly upstream: string, private readonly path: '/state' | '/load', private readonly observer: ConnectionsObserver) {}

  /** Incarnation that work goes to, undefined until one was learned. */
  get currentIncarnation (): string | undefined {
    return this.incarnation
  }

  /** An open connection to the current incarnation; rejects when none can be verified before `deadline`, epoch milliseconds. */
  async acquire (deadline: number): Promise<VerifiedConnection> {
    for (;;) {
      const kept = this.idle.at(-1)
      if (kept === undefined) return await this.open(deadline)
      this.idle = this.idle.slice(0, -1)
      if (this.isUsable(kept) && Date.now() < kept.idleUntil) return this.markInUse(kept)
      kept.close()
    }
  }

  /** Whether work may go over a connection now. */
  isUsable (connection: VerifiedConnection): boolean {
    return !connection.isClosed && connection.incarnation === this.incarnation
  }

  /** Takes a connection back whose last answer was read to its end. */
  release (connection: VerifiedConnection): void {
    this.inUse.delete(connection)
    connection.idleUntil = Date.now() + maximumIdleMilliseconds
    if (this.isUsable(connection)) this.idle = [...this.idle, connection]
    else connection.close()
  }

  /** Closes a connection that failed. */
  discard (connection: VerifiedConnection): void {
    this.inUse.delete(connection)
    connection.close()
  }

  /** Asks for the identity, over a kept connection when it still answers and else over a new one. */
  async probe (): Promise<UpstreamIdentity | undefined> {
    const kept = this.probeAgent
    if (kept !== undefined && !kept.isClosed) {
      const identity = await this.requestIdentity(kept).catch(() => undefined)
      if (identity !== undefined) return identity
      kept.destroy()
    }
    this.probeAgent = new SingleSocketAgent()
    try {
      return await this.requestIdentity(this.probeAgent)
    } catch (error) {
      this.probeAgent.destroy()
      this.probeAgent = undefined
      this.observer.upstreamUnreachable(String(error).includes('ECONNREFUSED'))
      return undefined
    }
  }

  close (): void {
    this.probeAgent?.destroy()
    for (const connection of this.idle) connection.close()
    this.idle = []
  }

  private async open (deadline: number): Promise<VerifiedConnection> {
    const agent = new SingleSocketAgent()
    try {
      const identity = await this.requestIdentity(agent, deadline)
      if (identity === undefined) throw new Error('the connection leads to a past incarnation')
      return this.markInUse(new VerifiedConnection(agent, identity.incarnation))
    } catch (error) {
      agent.destroy()
      throw error
    }
  }

  private async requestIdentity (agent: SingleSocketAgent, deadline = Infinity): Promise<UpstreamIdentity | undefined> {
    this.lastRequestNumber += 1
    const ask = this.lastRequestNumber
    const identity = await fetchIdentity(this.upstream, this.path, agent, Math.min(deadline, Date.now() + identityTimeoutMilliseconds))
    return this.applyIdentity(identity, ask) ? identity : undefined
  }

  private markInUse (connection: VerifiedConnection): VerifiedConnection {
    this.inUse.add(connection)
    return connection
  }

  /** False when the answer came from an incarnation that another has replaced; an overtaken answer teaches nothing. */
  private applyIdentity (identity: UpstreamIdentity, ask: number): boolean {
    if (this.pastIncarnations.has(identity.incarnation)) return false
    const isNew = identity.incarnation !== this.incarnation
    if (ask < this.lastAppliedNumber) return !isNew
    this.lastAppliedNumber = ask
    if (isNew) this.replace(identity.incarnation)
    this.observer.identityReceived(identity, isNew)
    return true
  }

  private replace (incarnation: string): void {
    if (this.incarnation !== undefined) this.pastIncarnations.add(this.incarnation)
    const [oldest] = this.pastIncarnations
    if (this.pastIncarnations.size > maximumPastIncarnations && oldest !== undefined) this.pastIncarnations.delete(oldest)
    this.incarnation = incarnation
    for (const connection of [...this.idle, ...this.inUse]) connection.close()
    this.idle = []
    this.inUse.clear()
  }
}
