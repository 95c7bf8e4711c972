/**
 * Verified connections to the upstream. Each is opened by a request for the upstream's identity and carries requests
 * only after the answer; a request never opens one itself. A connection to a terminated process cannot reach its
 * successor, so no request runs on an incarnation whose identity the agent has not received.
 */
import type { Agent, ClientRequestArgs } from 'node:http'
import type { Duplex } from 'node:stream'
import { z } from 'zod'
import { CheckedAgent } from '../../transports/checked-agent.js'
import { requestJson, StatusError } from '../../transports/http-client.js'
import { engineStateSchema, type EngineState } from '../../types/platform.js'

const identityTimeoutMilliseconds = 1000
/** Replaced incarnations that are remembered, so that late answers from them are ignored. */
const maximumPastIncarnations = 64
/** Time after which an idle connection is not reused, because upstreams close idle connections. */
const maximumIdleMilliseconds = 2000

/** Identity that an upstream reports; `engine` is undefined for a plain service. */
export interface UpstreamIdentity {
  /** Changes each time the upstream starts; empty when it reports none. */
  readonly incarnation: string
  /** Running requests, counted by the upstream itself. */
  readonly running: number
  readonly engine: EngineState | undefined
}

const loadSchema = z.object({ running: z.number().int().nonnegative().default(0), incarnation: z.string().default('') })

/** HTTP agent with a single socket, which it never opens again. */
class SingleSocketAgent extends CheckedAgent {
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
  /** Epoch milliseconds until which it may be reused. */
  idleUntil = 0

  constructor (readonly agent: SingleSocketAgent, readonly incarnation: string) {}

  get isClosed (): boolean {
    return this.agent.isClosed
  }

  close (): void {
    this.agent.destroy()
  }
}

/**
 * Fetches the upstream's identity over `agent`; `path` is `/state` for an engine and `/load` for a plain service.
 * A plain service without `/load` (status 404) reports nothing. Rejects when no valid answer arrives before `deadline`, epoch milliseconds.
 */
async function fetchIdentity (upstream: string, path: '/state' | '/load', agent: Agent, deadline: number): Promise<UpstreamIdentity> {
  try {
    const answer = await requestJson({ url: `${upstream}${path}`, method: 'GET', deadline, agent })
    if (path === '/load') return { ...loadSchema.parse(answer), engine: undefined }
    const engine = engineStateSchema.parse(answer)
    return { incarnation: engine.incarnation, running: engine.running, engine }
  } catch (error) {
    const reportsNothing = path === '/load' && error instanceof StatusError && error.status === 404
    if (!reportsNothing) throw error
    return { incarnation: '', running: 0, engine: undefined }
  }
}

/** Receives what the connections find out about the upstream. */
export interface ConnectionsObserver {
  /** Called for each identity, before a request uses its connection; `isNew` when the incarnation differs from the last one. */
  identityReceived (identity: UpstreamIdentity, isNew: boolean): void
  /** Called when no identity was received over a new connection; `isRefused` when the connection was refused. */
  upstreamUnreachable (isRefused: boolean): void
}

/** Pool of verified connections to one upstream. */
export class UpstreamConnections {
  private incarnation: string | undefined
  private readonly pastIncarnations = new Set<string>()
  private readonly inUse = new Set<VerifiedConnection>()
  private idle: readonly VerifiedConnection[] = []
  private probeAgent: SingleSocketAgent | undefined
  private lastRequestNumber = 0
  /** Number of the latest identity request whose answer was applied. */
  private lastAppliedNumber = 0

  constructor (private readonly upstream: string, private readonly path: '/state' | '/load', private readonly observer: ConnectionsObserver) {}

  /** Incarnation that requests are sent to, undefined until one was received. */
  get currentIncarnation (): string | undefined {
    return this.incarnation
  }

  /** An open connection to the current incarnation; rejects when none can be verified before `deadline`, epoch milliseconds. */
  async acquire (deadline: number): Promise<VerifiedConnection> {
    for (;;) {
      const idle = this.idle.at(-1)
      if (idle === undefined) return await this.open(deadline)
      this.idle = this.idle.slice(0, -1)
      if (this.isUsable(idle) && Date.now() < idle.idleUntil) return this.markInUse(idle)
      idle.close()
    }
  }

  /** Whether a request may be sent over a connection now. */
  isUsable (connection: VerifiedConnection): boolean {
    return !connection.isClosed && connection.incarnation === this.incarnation
  }

  /** Returns a connection to the pool; its last answer must have been read to the end. */
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

  /** Requests the identity, over the last probe's connection if that still answers and otherwise over a new one; undefined when neither answers. */
  async probe (): Promise<UpstreamIdentity | undefined> {
    const previous = this.probeAgent
    if (previous !== undefined && !previous.isClosed) {
      const identity = await this.requestIdentity(previous).catch(() => undefined)
      if (identity !== undefined) return identity
      previous.destroy()
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
      if (identity === undefined) throw new Error('the connection reaches an incarnation that has been replaced')
      return this.markInUse(new VerifiedConnection(agent, identity.incarnation))
    } catch (error) {
      agent.destroy()
      throw error
    }
  }

  private async requestIdentity (agent: SingleSocketAgent, deadline = Infinity): Promise<UpstreamIdentity | undefined> {
    this.lastRequestNumber += 1
    const requestNumber = this.lastRequestNumber
    const identity = await fetchIdentity(this.upstream, this.path, agent, Math.min(deadline, Date.now() + identityTimeoutMilliseconds))
    return this.applyIdentity(identity, requestNumber) ? identity : undefined
  }

  private markInUse (connection: VerifiedConnection): VerifiedConnection {
    this.inUse.add(connection)
    return connection
  }

  /** Returns false for an incarnation that has been replaced. An answer that arrives after that of a later request is not applied. */
  private applyIdentity (identity: UpstreamIdentity, requestNumber: number): boolean {
    if (this.pastIncarnations.has(identity.incarnation)) return false
    const isNew = identity.incarnation !== this.incarnation
    if (requestNumber < this.lastAppliedNumber) return !isNew
    this.lastAppliedNumber = requestNumber
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
