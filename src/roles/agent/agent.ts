/** Role agent: the only process in an upstream's slot; every request and order to that upstream passes through it. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { wantedWeights } from '../../core/configuration/resolve.js'
import { createFailure, type Failure } from '../../errors.js'
import { ConfigurationFollower } from '../../nodes/configuration-follower.js'
import { InstanceDirectory } from '../../nodes/instance-directory.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { Metrics } from '../../plugins/metrics.js'
import { startTracing } from '../../plugins/tracing.js'
import { ControlService, serveControl, type FollowEvent, type FollowRequest, type OutcomeReply, type OutcomeRequest, type FollowSession, type WatchRequest } from '../../transports/control.js'
import { sendJson, serveHttp } from '../../transports/http-server.js'
import { HttpLogClient, streams } from '../../transports/log-client.js'
import type { Configuration, Service } from '../../types/configuration.js'
import type { AgentState, AgentStatus, NodeDescription } from '../../types/messages.js'
import type { ListedInstance } from '../../types/platform.js'
import type { AgentSettings } from '../../types/settings.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { Admission } from './admission.js'
import { ClaimRegistry } from './claims.js'
import type { UpstreamConnections, VerifiedConnection } from './connections.js'
import { membersWanting } from './exchange/members.js'
import type { ExchangeLoad, ExchangeMember } from './exchange/options.js'
import { WeightExchange } from './exchange/exchange.js'
import { InstanceLease } from './lease.js'
import { EngineOrders, type EngineOrdersHost } from './engine-orders.js'
import { OutcomeStore } from './outcomes.js'
import type { RelayHost } from './relay-host.js'
import { relay } from './relay.js'
import { StatusFeed } from './status-feed.js'
import { UpstreamMonitor } from './upstream-monitor.js'

const log = logFor('agent')
const retryDelayMilliseconds = 500
/** Time for which a stopping agent still answers outcome queries while entries watch it. */
const outcomeGraceMilliseconds = 1500
const drainPollMilliseconds = 20
/** Time for a read of the log that answers an outcome query. */
const claimReadTimeoutMilliseconds = 200

/** Starts an agent; resolves once it listens on its HTTP and control addresses. */
export async function startAgent (settings: AgentSettings): Promise<RunningNode> {
  if (settings.trace === 'on') startTracing('log')
  const agent = new Agent(settings)
  await agent.start()
  return agent
}

class Agent extends ControlService implements RunningNode, RelayHost, EngineOrdersHost {
  readonly metrics = new Metrics()
  readonly outcomes: OutcomeStore
  readonly claims: ClaimRegistry
  private readonly incarnation = randomUUID()
  private readonly follower: ConfigurationFollower
  private readonly directory: InstanceDirectory
  private readonly exchange: WeightExchange
  private readonly orders: EngineOrders
  private readonly lease: InstanceLease
  private readonly upstreamMonitor: UpstreamMonitor
  private readonly statusFeed: StatusFeed
  private isStopping = false
  private hasStartedClaims = false
  private closeServers: () => void = () => {}

  constructor (private readonly settings: AgentSettings) {
    super()
    const { instance, dataCentre, service, control } = settings
    this.statusFeed = new StatusFeed(() => this.status, settings.loadMilliseconds)
    const client = new HttpLogClient(settings.log)
    this.directory = new InstanceDirectory(settings.instances)
    this.follower = new ConfigurationFollower({ client, directory: this.directory, instance, dataCentre })
    const members = (manifest: string): readonly ExchangeMember[] => membersWanting(this.follower.state, service, this.directory.instances, manifest)
    const load = (): ExchangeLoad => ({ inFlight: this.admission.inFlight, limit: this.admission.limit })
    const views = { members, pool: () => this.pool, load, served: () => this.orders.served, weighting: () => this.configuration?.deployment.weighting ?? 'service' }
    this.exchange = new WeightExchange({ ...settings, origin: settings.origin, store: settings.store, ...views }, () => { this.changed() })
    this.lease = new InstanceLease(client, instance, this.incarnation, () => { this.changed() })
    this.orders = new EngineOrders(this, this.lease)
    this.upstreamMonitor = new UpstreamMonitor(settings.upstream, this.hasEngine ? '/state' : '/load', () => this.service, engine => { this.orders.recordEngineState(engine) }, () => { this.changed() })
    this.outcomes = new OutcomeStore(this.incarnation)
    this.claims = new ClaimRegistry(client, streams.claims(service), { instance, incarnation: this.incarnation, address: control })
  }

  async start (): Promise<void> {
    const http = await serveHttp(this.settings.listen, async (request, response) => { await this.handle(request, response) })
    const control = await serveControl(this.settings.control, this)
    this.follower.onChange(() => { this.applyChanges() })
    this.directory.onChange(() => { this.applyChanges() })
    this.follower.start()
    this.directory.start()
    if (this.hasEngine) this.orders.start()
    else this.upstreamMonitor.startWatch()
    this.statusFeed.start()
    this.closeServers = () => {
      http.server.close()
      control.close()
    }
    log.info('agent started', { instance: this.settings.instance })
  }

  /** Stops gracefully: refuses new requests at once, finishes running ones (bounded by their deadlines), and answers outcome queries until the watching entries have left or the grace period ends. */
  async stop (): Promise<void> {
    this.isStopping = true
    this.admission.refuseWaiting(createFailure('leaving', Date.now() + retryDelayMilliseconds))
    this.changed()
    while (this.admission.unfinished > 0) await waitUntil(Date.now() + drainPollMilliseconds)
    const askableUntil = Date.now() + outcomeGraceMilliseconds
    while (this.statusFeed.watcherCount > 0 && Date.now() < askableUntil) await waitUntil(Date.now() + drainPollMilliseconds)
    for (const part of [this.statusFeed, this.orders, this.exchange, this.claims, this.upstreamMonitor, this.follower, this.directory]) part.stop()
    this.closeServers()
  }

  get upstream (): string {
    return this.settings.upstream
  }

  get progressMilliseconds (): number {
    return this.settings.progressMilliseconds
  }

  get serviceName (): string {
    return this.settings.service
  }

  get configuration (): Configuration | undefined {
    return this.follower.state.configuration
  }

  get admission (): Admission {
    return this.upstreamMonitor.admission
  }

  get connections (): UpstreamConnections {
    return this.upstreamMonitor.connections
  }

  get source (): string {
    return `http://${this.settings.listen}/local`
  }

  get wanted (): string {
    return this.exchange.loadable?.manifest ?? ''
  }

  get isComplete (): boolean {
    return this.exchange.isLoadable
  }

  get unfinished (): number {
    return Math.max(this.admission.unfinished, this.admission.inFlight)
  }

  /** Whether this instance may be unavailable for a swap of weights now. */
  maySwap (): boolean {
    return this.exchange.maySwap()
  }

  async probe (): Promise<void> {
    await this.upstreamMonitor.probe()
  }

  refuseWaiting (): void {
    this.admission.refuseWaiting(createFailure('closed', Date.now() + retryDelayMilliseconds))
  }

  changed (): void {
    this.exchange.refreshServed()
    this.statusFeed.changed()
  }

  connectionLost (connection: VerifiedConnection, fingerprint: string): void {
    this.upstreamMonitor.connectionLost(connection, fingerprint)
  }

  refusal (weights: string): Failure | undefined {
    const retryAt = Date.now() + retryDelayMilliseconds
    const state = this.agentState
    if (state === 'out') return createFailure('data-centre-out', retryAt)
    if (state === 'leaving') return createFailure('leaving', retryAt)
    if (!this.follower.mayTakeWork()) return createFailure('isolated', retryAt)
    if (state === 'closed' || (this.hasEngine && weights !== this.orders.served)) return createFailure('closed', retryAt)
    return undefined
  }

  describe (): NodeDescription {
    const { state, confirmedUntil, logReachable } = this.follower
    const { instance, dataCentre } = this.settings
    return { instance, role: 'agent', dataCentre, configurationNext: state.next, revision: state.revision, confirmedUntil, logReachable, leaving: this.isStopping, inFlight: this.admission.inFlight }
  }

  follow (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    return this.follower.serve(request, send)
  }

  override watch (_request: WatchRequest, send: (status: AgentStatus) => void): () => void {
    return this.statusFeed.add(send)
  }

  override async outcome (request: OutcomeRequest): Promise<OutcomeReply> {
    const reply = this.outcomes.reply(request)
    if (request.key === '' || reply.outcome !== 'unknown') return reply
    const isFree = await this.claims.isFree(request.key, Date.now() + claimReadTimeoutMilliseconds)
    return isFree ? { ...reply, outcome: 'not-run' } : reply
  }

  /** Whether the upstream is an engine; only agents of a model service have an origin of weights. */
  private get hasEngine (): boolean {
    return this.settings.origin !== undefined
  }

  /** Live instances of the same service and data centre, from the platform's list, which may lag. */
  private get pool (): readonly ListedInstance[] {
    const { service, dataCentre } = this.settings
    return this.directory.instances.filter(listed => listed.service === service && listed.dataCentre === dataCentre && listed.state === 'live')
  }

  private get service (): Service | undefined {
    return this.configuration?.services[this.settings.service]
  }

  private get agentState (): AgentState {
    if (this.isStopping) return 'leaving'
    if (this.configuration?.dataCentres[this.settings.dataCentre]?.state !== 'in') return 'out'
    if (this.hasEngine && this.orders.served === '') return 'closed'
    return 'open'
  }

  private get status (): AgentStatus {
    const { instance, dataCentre, service, listen } = this.settings
    const { manifest, held, total } = this.exchange.progress
    const { limit, inFlight, waitingCount, isCold } = this.admission
    return {
      instance,
      incarnation: this.incarnation,
      dataCentre,
      service,
      state: this.agentState,
      weights: this.orders.served,
      limit,
      inFlight,
      waiting: waitingCount,
      cold: isCold,
      configurationNext: this.follower.state.next,
      address: listen,
      wanted: manifest,
      chunksHeld: held,
      chunksTotal: total,
      suspects: this.upstreamMonitor.suspects
    }
  }

  /** Applies a change of the configuration or of the instance list. */
  private applyChanges (): void {
    const { configuration, revisions } = this.follower.state
    const { service, dataCentre, instance } = this.settings
    if (configuration !== undefined && this.service?.kind === 'model') {
      this.exchange.setTarget(wantedWeights(configuration, revisions, service, dataCentre, instance, this.pool.map(listed => listed.instance)))
    }
    if (!this.hasStartedClaims && this.service?.kind === 'plain' && this.service.nonIdempotent.length > 0) {
      this.hasStartedClaims = true
      this.claims.start()
    }
    if (this.agentState === 'out') this.admission.refuseWaiting(createFailure('data-centre-out', Date.now() + retryDelayMilliseconds))
    this.changed()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]?.split('/').filter(part => part !== '') ?? []
    if (path[0] === 'run' && request.method === 'POST') await relay(this, request, response, path[1] ?? '')
    else if (path[0] === 'weights' || path[0] === 'chunks' || path[0] === 'local') this.exchange.handle(request, response, path)
    else if (path[0] === 'status') sendJson(response, 200, this.status)
    else if (path[0] === 'metrics') this.sendMetrics(response)
    else sendJson(response, 404, { error: 'no such path' })
  }

  private sendMetrics (response: ServerResponse): void {
    const { limit, inFlight, waitingCount } = this.admission
    this.metrics.set('limit_requests', {}, limit)
    this.metrics.set('in_flight_requests', {}, inFlight)
    this.metrics.set('waiting_requests', {}, waitingCount)
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
    response.end(this.metrics.render())
  }
}
