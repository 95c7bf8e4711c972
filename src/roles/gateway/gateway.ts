/** The role of an entry that calls upstreams directly: its servers, its followers of records, and its start and stop. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { EarlyRepeats } from '../../core/dispatch/early-repeats.js'
import { ExpectedWaits } from '../../core/dispatch/expected-wait.js'
import { FirstEventWaits } from '../../core/dispatch/first-event-waits.js'
import { profileOf, type ServiceProfile } from '../../core/dispatch/service-profile.js'
import { SharedRetryBudget } from '../../core/dispatch/shared-retry-budget.js'
import { UnprovedRuns } from '../../core/dispatch/unproved-runs.js'
import type { StopTimes } from '../../core/dispatch/stop-admission.js'
import { entriesFor } from '../../core/fleet/directory.js'
import { Membership } from '../../core/fleet/members.js'
import { createFailure } from '../../errors.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { Metrics } from '../../plugins/metrics.js'
import { listenOn } from '../../transports/http-listen.js'
import { discardBody } from '../../transports/discard-body.js'
import { DatagramSocket } from '../../transports/datagrams.js'
import type { GatewaySettings } from '../../types/node-settings.js'
import type { RecordCodec, RecordLog, RequestCodec } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { sleepUntil, monotonicNow } from '../../utils/clock.js'
import { LazyMap } from '../../utils/lazy-map.js'
import { logFor } from '../../utils/log.js'
import { CallerAnswer } from './caller-answer.js'
import { CallerTimeouts } from './caller-timeouts.js'
import { incarnationOf } from './call-evidence.js'
import { createCrashSuspects } from './crash-gossip.js'
import { FleetRecords } from './fleet-records.js'
import { FleetState } from './fleet-state.js'
import { renderMetrics } from './gateway-metrics.js'
import { EngineSlots } from './engine-slots.js'
import { InstanceRecords, staleCheckMilliseconds } from './instance-records.js'
import { EntryGossip } from './gossip.js'
import { RequestServer } from './serve-request.js'
import { mayClose, stopTimesFrom } from './planned-stop.js'
import { UpstreamConnections } from './upstream-connections.js'
import { RequestQueue } from './request-queue.js'
import { UpstreamLimits } from './upstream-limits.js'
import { UnstartedCalls } from './unstarted-calls.js'
import { UpstreamPool } from './upstream-pool.js'

const log = logFor('entry')

/** Largest head of a caller's request, bytes. */
const maximumHeaderBytes = 65_536
/** Bytes and time, in milliseconds, for which the rest of an answered request is received before its connection is closed: closing it earlier can lose the answer. */
const [maximumDiscardedBytes, discardMilliseconds] = [16 << 20, 2000] as const

/** What the platform adapter provides to an entry. */
export interface GatewayPorts {
  readonly records: RecordLog
  readonly codec: RecordCodec
  readonly requests: RequestCodec
  /** Answers callers that ask which entries to connect to; `find` gives the addresses. */
  directory (incoming: IncomingMessage, response: ServerResponse, find: (caller: { readonly host: string, readonly dataCentre: string, readonly region: string }) => readonly string[]): void
  /** Answers the readiness check. */
  readiness (incoming: IncomingMessage, response: ServerResponse, isReady: boolean): void
}

/** Starts an entry; it accepts requests once this resolves, and rejects if an address cannot be bound. */
export async function startGateway (settings: GatewaySettings, ports: GatewayPorts): Promise<RunningNode> {
  const gateway = new Gateway(settings, ports)
  await gateway.start()
  return gateway
}

class Gateway implements RunningNode {
  private readonly metrics = new Metrics()
  private readonly firstEventWaits = new LazyMap(() => new FirstEventWaits())
  private readonly expectedWaits = new LazyMap(() => new ExpectedWaits())
  private readonly queues = new LazyMap(() => new RequestQueue())
  private readonly members: Membership
  private readonly state: FleetState
  private readonly pool: UpstreamPool
  private readonly limits: UpstreamLimits
  private readonly slots: EngineSlots
  private readonly connections = new UpstreamConnections()
  private readonly suspects = createCrashSuspects()
  private readonly unprovedRuns = new UnprovedRuns(this.suspects)
  private readonly records: FleetRecords
  private readonly datagrams: DatagramSocket
  private readonly gossip: EntryGossip
  private readonly server: RequestServer
  /** Server of callers' requests. */
  private readonly callers: Server
  private readonly callerTimeouts: CallerTimeouts
  /** Servers of the readiness check, the directory and other nodes. */
  private readonly others: readonly Server[]
  /** Set once a planned stop has begun. */
  private stopTimes: StopTimes | undefined
  /** Requests of callers in progress. */
  private active = 0
  /** When the last request arrived, milliseconds of the monotonic clock. */
  private lastRequestAt = 0
  private staleTimer: NodeJS.Timeout | undefined

  constructor (private readonly settings: GatewaySettings, private readonly ports: GatewayPorts) {
    this.members = new Membership({
      instance: settings.instance,
      ip: settings.ip,
      callers: settings.callers,
      dataCentre: settings.dataCentre,
      region: settings.region,
      incarnation: Date.now(),
      beat: 0,
      isReady: false,
      logDelayMilliseconds: -1
    }, monotonicNow())
    this.state = new FleetState(ports.codec, settings.rolloutMilliseconds, () => {
      if (this.state.table !== undefined) this.callerTimeouts.apply(this.state.table.configuration.limits)
      this.gossip.announceStateToAgents()
    })
    this.limits = new UpstreamLimits({
      fleet: () => this.members.fleet(monotonicNow()),
      send: (message, instance) => {
        const ip = this.members.ipOf(instance)
        if (ip !== undefined) this.datagrams.send(message, ip)
      },
      startOf: id => this.pool.find(id)?.upstream.startedAt,
      coldRate: id => this.pool.coldPermitRate(id)
    })
    this.slots = new EngineSlots({
      send: (message, ip) => { this.datagrams.send(message, ip) },
      answered: () => { this.useSlots() }
    })
    this.pool = new UpstreamPool({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      regionOf: settings.regionByDataCentre,
      cold: { factor: settings.coldFactor, slack: settings.coldSlack },
      limits: this.limits,
      slots: this.slots,
      entries: () => this.livingEntries(),
      knownEntries: () => this.members.knownEntries(monotonicNow()),
      isEvacuated: dataCentre => this.state.isEvacuated(dataCentre),
      isAdaptive: service => this.profileOf(service).isAdaptive,
      placesByTime: service => this.profileOf(service).placesByTime,
      upstreamGone: upstream => {
        if (upstream.isDraining) this.unprovedRuns.recordLeft(incarnationOf(upstream))
        else this.unprovedRuns.recordEnded(incarnationOf(upstream), monotonicNow())
      },
      upstreamLeaves: () => { if (this.records.readsLog('instances')) this.gossip.announceNews() }
    }, name => this.state.service(name))
    this.records = new FleetRecords({
      log: ports.records,
      settings,
      members: this.members,
      metrics: this.metrics,
      operators: {
        record: (record, isFirst, read) => {
          this.state.put(record, isFirst, read)
          if (read.source === 'log' && !isFirst) this.gossip.announceNews()
        },
        confirmed: () => {}
      },
      instances: new InstanceRecords(ports.codec, this.pool, settings.heartbeatMilliseconds),
      onEntryFound: ip => { this.gossip.announceTo(ip) }
    })
    this.datagrams = new DatagramSocket(settings.internalPort, (message, ip) => { this.gossip.receive(message, ip) })
    this.gossip = new EntryGossip({
      members: this.members,
      datagrams: () => this.datagrams,
      state: this.state,
      pool: this.pool,
      limits: this.limits,
      suspects: this.suspects,
      operators: this.records.operators,
      instances: this.records.instances,
      seeds: settings.seeds,
      internalPort: settings.internalPort,
      isReady: () => this.isReady
    })
    const budget = new SharedRetryBudget({ share: settings.retryRatio, slack: settings.retrySlack, windowMilliseconds: settings.retryWindowMilliseconds })
    this.server = new RequestServer({
      requests: ports.requests,
      state: this.state,
      pool: this.pool,
      connections: this.connections,
      budget,
      suspects: this.suspects,
      unprovedRuns: this.unprovedRuns,
      unstartedCalls: new UnstartedCalls({
        withdrawalAt: (model, version) => this.state.withdrawalAt(model, version),
        versionAt: id => this.pool.find(id)?.reportedVersion
      }),
      metrics: this.metrics,
      firstEventWaitsOf: service => this.firstEventWaits.get(service),
      expectedWaitsOf: service => this.expectedWaits.get(service),
      earlyRepeats: new EarlyRepeats(),
      profileOfService: service => this.profileOf(service),
      queueOf: service => this.queues.get(service),
      random: Math.random,
      entryCount: () => this.members.knownEntries(monotonicNow()).length,
      stopTimes: () => this.stopTimes,
      lacksRecords: () => this.gossip.lacksOperatorsRecords
    })
    this.callers = createServer({ maxHeaderSize: maximumHeaderBytes, requestTimeout: 0, connectionsCheckingInterval: 1000 }, (incoming, response) => {
      this.serve(incoming, response)
    })
    this.callerTimeouts = new CallerTimeouts(this.callers)
    this.others = [
      createServer((incoming, response) => { ports.readiness(incoming, response, this.isReady) }),
      createServer((incoming, response) => { ports.directory(incoming, response, caller => this.findEntries(caller)) }),
      createServer((incoming, response) => { this.serveInternal(incoming, response) })
    ]
  }

  async start (): Promise<void> {
    const { settings } = this
    await this.datagrams.open(settings.ip)
    const addresses = [settings.readiness, settings.directory, `${settings.ip}:${settings.internalPort}`]
    await Promise.all(this.others.map((server, index) => listenOn(server, addresses[index] ?? '')))
    runInBackground(this.records.run(), log, 'follow the records')
    await listenOn(this.callers, settings.callers)
    this.gossip.round()
    this.staleTimer = setInterval(() => { this.removeStale() }, staleCheckMilliseconds)
  }

  /** Removes this entry from the directory, serves the requests that end in time, see `mayTakeWhileStopping`, and closes, see `mayClose`. */
  async stop (): Promise<void> {
    const stopTimes = stopTimesFrom(monotonicNow(), this.settings)
    this.stopTimes = stopTimes
    log.info('stopping: removed from the directory, finishing active requests', { active: this.active })
    this.gossip.announceToAll()
    while (!mayClose(stopTimes, { active: this.active, lastAt: this.lastRequestAt }, monotonicNow())) {
      this.gossip.announceRead()
      await sleepUntil(monotonicNow() + 50)
    }
    this.close()
    log.info('stopped', { active: this.active })
  }

  /** Ends all reads, timers and connections. */
  private close (): void {
    clearInterval(this.staleTimer)
    this.callerTimeouts.close()
    this.records.stop()
    this.gossip.stop()
    this.datagrams.close()
    for (const server of [this.callers, ...this.others]) {
      server.close()
      server.closeAllConnections()
    }
  }

  private get isReady (): boolean {
    return this.stopTimes === undefined && this.state.table !== undefined
  }

  private profileOf (service: string): ServiceProfile {
    const hasEngines = this.state.service(service)?.engine !== undefined
    return profileOf(this.settings.dispatchMode, { isRanked: this.state.isRanked(service), isPaced: this.pool.statesPace(service), hasEngines })
  }

  private livingEntries (): readonly string[] {
    return this.members.living(monotonicNow()).map(({ instance }) => instance)
  }

  private serve (incoming: IncomingMessage, response: ServerResponse): void {
    this.active += 1
    this.lastRequestAt = monotonicNow()
    this.callerTimeouts.keepPromise(incoming, response)
    response.on('close', () => { this.active -= 1 })
    response.on('finish', () => {
      if (!incoming.complete) discardBody(incoming, { maximumBytes: maximumDiscardedBytes, deadline: monotonicNow() + discardMilliseconds })
    })
    this.server.serve(incoming, response).catch((error: unknown) => {
      log.error('request handler failed', { reason: String(error) })
      if (!response.headersSent) response.getHeaderNames().forEach(name => { response.removeHeader(name) })
      new CallerAnswer(response, this.ports.requests, () => this.stopTimes !== undefined).fail(createFailure('upstream-lost'))
    })
  }

  /** Addresses of the entries that a caller is to connect to. */
  private findEntries (caller: { readonly host: string, readonly dataCentre: string, readonly region: string }): readonly string[] {
    const routes = this.state.table?.routesByHost.get(caller.host.toLowerCase()) ?? []
    return entriesFor(this.members.living(monotonicNow()), caller, routes.flatMap(({ regions }) => regions))
  }

  /** Has queued requests use the slots that agents have granted, and gives back those that none needs. */
  private useSlots (): void {
    const queues = this.queues.values()
    for (const queue of queues) queue.poll()
    this.slots.releaseUnused(queues.every(({ isEmpty }) => isEmpty), id => this.pool.find(id)?.upstream.address)
  }

  private removeStale (): void {
    this.pool.deleteExpired()
    this.connections.retainOnly(new Set(this.pool.all().map(({ upstream }) => upstream.id)))
  }

  private serveInternal (incoming: IncomingMessage, response: ServerResponse): void {
    if (incoming.url?.startsWith('/records?') === true) this.records.serve(incoming.url, response)
    else if (incoming.url === '/metrics') response.end(renderMetrics(this.metrics, { active: this.active, livingEntries: this.livingEntries().length, state: this.state, suspects: this.suspects, records: this.records, pool: this.pool, limits: this.limits }))
    else response.writeHead(404).end()
  }
}
