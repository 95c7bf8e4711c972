/** The agent on an engine's machine: rolls out named weights to the engine and reports its load to entries. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { expectedCompletionAt } from '../../core/weights/swap-schedule.js'
import { readyInMilliseconds } from '../../core/weights/ready-time.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { Metrics } from '../../plugins/metrics.js'
import { CheckedAgent } from '../../transports/checked-agent.js'
import { listenOn } from '../../transports/http-listen.js'
import { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import type { NodeMessage, Subscription } from '../../types/node-messages.js'
import type { WeightsSettings } from '../../types/node-settings.js'
import type { EnginePort, OriginPort, RecordCodec, RecordLog } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { sleepUntil, monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { Announcer } from './announcer.js'
import type { VersionChunks } from './chunk-store.js'
import { ChunkUploads } from './chunk-uploads.js'
import { EngineSwapper, type SwapRequest } from './engine-swapper.js'
import { LoadOrders, type UncheckedLoad } from './load-orders.js'
import { LoadReporter } from './load-reporter.js'
import { NamedVersions } from './named-versions.js'
import { PeerTable } from './peer-table.js'
import { RolloutSource } from './rollout-source.js'
import { SlotGranter } from './slot-granter.js'
import { Staging } from './staging.js'
import { VersionCache } from './version-cache.js'

const log = logFor('agent')

/** Interval at which the engine is polled, milliseconds; an engine at full load finishes a request in about that time. */
const reportIntervalMilliseconds = 100
/** Time from the naming of a version until every engine can swap to it, in times of one copy on the machine's link. */
const rolloutCopies = 1.3
/** Time of a swap once a copy is complete, milliseconds. */
const swapMilliseconds = 1000
/** Share of a copy's chunks from which the engine may be closed to requests before the copy is complete. */
const earlyCloseShare = 0.75

/** Implementations that the platform adapter provides. */
export interface WeightsPorts {
  readonly records: RecordLog
  readonly codec: RecordCodec
  readonly engine: EnginePort
  readonly origin: OriginPort
}

/** Starts an agent; throws when its address cannot be bound. */
export async function startWeightsAgent (settings: WeightsSettings, ports: WeightsPorts): Promise<RunningNode> {
  const agent = new WeightsAgent(settings, ports)
  await agent.start()
  return agent
}

class WeightsAgent implements RunningNode {
  private readonly metrics = new Metrics()
  private readonly rollout: RolloutSource
  private readonly datagrams: DatagramSocket
  private readonly peers: PeerTable
  private readonly server: Server
  private readonly uploads: ChunkUploads
  private readonly staging: Staging
  private readonly orders: LoadOrders
  private readonly swapper: EngineSwapper
  private readonly versions: VersionCache
  private readonly loadReporter: LoadReporter
  private readonly slots: SlotGranter
  private readonly announcer: Announcer
  private readonly named: NamedVersions
  private report: EngineReport | undefined
  /** Whether chunks are being staged or a swap is in progress; at most one such task runs at a time. */
  private hasEngineTask = false
  private isStopped = false
  /** False until the engine has answered once: what is staged there is unknown before. */
  private hasEngineAnswered = false

  constructor (private readonly settings: WeightsSettings, private readonly ports: WeightsPorts) {
    this.named = new NamedVersions(settings.rolloutMilliseconds)
    this.uploads = new ChunkUploads(settings.linkBytesPerSecond)
    this.peers = new PeerTable(settings.ip, settings.dataCentre)
    this.staging = new Staging(ports.engine)
    this.orders = new LoadOrders(ports.engine, this.staging, this.metrics)
    this.swapper = new EngineSwapper(settings.ip, this.orders, this.staging, this.peers)
    const [{ service }, { records, codec }] = [settings, ports]
    this.rollout = new RolloutSource({ service, records, codec, named: this.named, peers: this.peers, metrics: this.metrics, introduce: () => { this.introduce() } })
    this.datagrams = new DatagramSocket(settings.internalPort, (message, ip) => { this.receive(message, ip) })
    this.loadReporter = new LoadReporter(this.datagrams)
    this.slots = new SlotGranter(this.datagrams, this.metrics)
    this.announcer = new Announcer(settings.dataCentre, this.datagrams, this.peers, () => ({ chunks: this.versions.current, served: this.served, isSwapping: this.swapper.isClosed || this.report?.isSwapping === true }))
    this.versions = new VersionCache({
      ip: settings.ip,
      internalPort: settings.internalPort,
      engine: ports.engine,
      origin: ports.origin,
      peers: this.peers,
      httpAgent: new CheckedAgent({ keepAlive: true, maxSockets: 2 }),
      originFacts: () => this.rollout.facts?.origin,
      chunkCount: () => this.rollout.facts?.chunkCount ?? 0,
      chunkBytes: () => this.rollout.facts?.chunkBytes ?? 0,
      onChunksChanged: () => { this.announcer.announce() },
      onOriginChunk: position => { this.announcer.announceToPrimaryFetchers(position) },
      onOtherCopy: (copyModel, digests) => { this.retainCopy(copyModel, digests) }
    })
    this.server = createServer((incoming, response) => { this.handleRequest(incoming, response) })
  }

  async start (): Promise<void> {
    const { ip, internalPort } = this.settings
    await this.datagrams.open(ip)
    await listenOn(this.server, `${ip}:${internalPort}`)
    runInBackground(this.rollout.run(), log, 'read the log while no entry subscribes')
    runInBackground(this.watch(), log, 'poll the engine')
  }

  async stop (): Promise<void> {
    this.isStopped = true
    this.orders.stop()
    this.staging.stop()
    this.rollout.stop()
    this.slots.stop()
    this.versions.stop()
    this.datagrams.close()
    this.server.close()
  }

  private get served (): number {
    return this.report?.weights?.version ?? 0
  }

  /** Keeps a copy that an earlier process staged for as long as its order may be accepted, unless the engine serves that version already. */
  private retainCopy (model: string, digests: readonly string[]): void {
    this.orders.retainStaged()
    const { served } = this
    if (served === 0) return
    const release = async (): Promise<void> => {
      if (await this.versions.isMostlyOf(model, served, digests)) this.orders.releaseStaged()
    }
    runInBackground(release(), log, 'compare what is staged with the version that is served')
  }

  /** Estimated time until a version is served everywhere, from the share of chunks missing here, milliseconds. */
  private estimateRolloutMilliseconds (model: string, version: number): number {
    const bytes = (this.rollout.facts?.chunkBytes ?? 0) * (this.rollout.facts?.chunkCount ?? 0)
    const { linkBytesPerSecond } = this.settings
    const copyMilliseconds = linkBytesPerSecond === 0 ? 0 : bytes / linkBytesPerSecond * 1000
    const chunks = this.versions.get(model, version)
    const missingShare = chunks === undefined ? 1 : 1 - chunks.heldCount / chunks.digests.length
    return copyMilliseconds * rolloutCopies * missingShare + swapMilliseconds
  }

  /** The version to fetch next, or the newest once it is complete here, since peers may still fetch it. */
  private versionToFetch (model: string): NamedVersion {
    const held = this.versions.newestComplete(model)?.version ?? 0
    return this.named.next(model, this.served, held, version => this.estimateRolloutMilliseconds(model, version))
  }

  private receive (message: NodeMessage, ip: string): void {
    if (message.kind === 'subscription') this.subscribe(message, ip)
    else if (message.kind === 'slot-request') this.slots.answer(message, ip)
    else if (message.kind === 'slot-release') this.slots.release(message, ip)
    else if (message.kind === 'pace') this.slots.recordPace(message)
    else if (message.kind === 'holdings') {
      const isNew = this.peers.receiveHoldings(message, ip)
      if (isNew) this.announcer.sendTo([ip])
      this.versions.startFetches()
    }
  }

  private introduce (): void {
    for (const seed of this.settings.seeds) this.datagrams.send({ kind: 'introduction', service: this.settings.service }, seed)
  }

  private subscribe (subscription: Subscription, ip: string): void {
    if (subscription.vouched !== undefined) this.orders.observeVouched(subscription.vouched, this.report)
    this.loadReporter.subscribe(ip, subscription.dataCentre === this.settings.dataCentre)
    this.rollout.receive(subscription, ip)
  }

  /** Polls the engine, then updates it, until stopped. */
  private async watch (): Promise<void> {
    let isUnreachable = false
    while (!this.isStopped) {
      const askedAt = monotonicNow()
      const nextAt = askedAt + reportIntervalMilliseconds
      try {
        const report = await this.ports.engine.report()
        if (isUnreachable) log.info('the engine answers again', { startedAt: report.startedAt })
        isUnreachable = false
        this.handleReport(report, askedAt)
      } catch (error) {
        if (!isUnreachable) log.warn('the engine does not answer', { reason: String(error) })
        isUnreachable = true
        this.report = undefined
      }
      this.updateEngine()
      await sleepUntil(nextAt)
    }
  }

  /** Stores a report and sends it to entries; after a restart of the engine, staging and swap start over. */
  private handleReport (report: EngineReport, askedAt: number): void {
    if (this.orders.isOutdated(report)) return
    const previous = this.report
    this.report = report
    this.hasEngineAnswered = true
    this.orders.observe(report, askedAt)
    this.swapper.observe(report)
    this.slots.recordReport(report, this.served > 0 && !report.isSwapping && !this.swapper.isClosed)
    this.loadReporter.send(report, this.swapper.isClosed, this.estimateReadyMilliseconds(report))
    if (previous !== undefined && previous.startedAt !== report.startedAt) {
      this.staging.reset()
      this.swapper.reopen()
    }
    const previouslyServed = previous?.weights?.version ?? 0
    if (previouslyServed === this.served && previous?.startedAt === report.startedAt && previous.orders === report.orders) return
    log.info('the engine reports its weights', { version: this.served, before: previouslyServed, startedAt: report.startedAt, orders: report.orders, ordersBefore: previous?.orders ?? 0, isSwapping: report.isSwapping })
  }

  private estimateReadyMilliseconds (report: EngineReport): number {
    const now = monotonicNow()
    return readyInMilliseconds({
      now,
      isServing: this.served > 0 && !this.named.isPastDeadline(this.served, now),
      isSwapping: report.isSwapping || this.swapper.isClosed,
      progress: this.versions.progress
    })
  }

  /** Takes the next steps of the rollout: fetch, announce, close early, and stage or swap. */
  private updateEngine (): void {
    const model = this.rollout.facts?.models[0]
    if (model === undefined || !this.hasEngineAnswered) return
    const wanted = this.versionToFetch(model)
    this.versions.fetchVersion(model, wanted.version, wanted.since)
    this.announcer.announce()
    const chunks = this.orders.openChunks ?? this.versions.newestComplete(model)
    if (this.report === undefined) return
    if (this.orders.openChunks === undefined) this.closeEarly(model, wanted, this.report)
    if (this.hasEngineTask) return
    if (this.orders.unchecked !== undefined) {
      this.checkLoad(model, wanted.version, this.orders.unchecked, this.report)
      return
    }
    if (this.served >= wanted.version && this.orders.shouldUnload(this.report)) {
      this.runEngineTask('give up a wrong load', this.orders.unload(this.report))
      return
    }
    if (chunks === undefined || this.served >= chunks.version || !this.orders.mayStage(chunks)) {
      this.stageHeldChunks(model, wanted.version)
      return
    }
    const target = this.named.find(model, chunks.version)
    this.runEngineTask('swap the weights', this.swapper.swap(chunks, this.swapRequest(target, this.report), chunks.completedAt))
  }

  /** Reads again what the engine has loaded; a load that this agent did not order once it is known, and its digests are. One that another process ordered meanwhile is given up for a newer version. */
  private checkLoad (model: string, wanted: number, { isOwn, isInherited }: UncheckedLoad, report: EngineReport): void {
    if (!isOwn && (report.isSwapping || this.served === 0)) return
    const isReplaced = !isInherited && this.served < wanted
    const loaded = this.versions.get(model, this.served) ?? (isOwn || isReplaced ? undefined : this.versions.lookUp.find(model, this.served))
    if (isOwn || isReplaced || loaded !== undefined) this.runEngineTask('read again what the engine has loaded', this.orders.checkLoad(loaded))
    else if (this.versions.lookUp.hasFailed) this.orders.endWaitForDigests()
  }

  /** Stages fetched chunks as they arrive, so that they survive a restart of this process. */
  private stageHeldChunks (model: string, version: number): void {
    const chunks = this.versions.get(model, version)
    if (chunks === undefined || this.served >= version || !this.orders.mayStage(chunks)) return
    this.runEngineTask('stage chunks', this.staging.add(chunks))
  }

  private runEngineTask (name: string, task: Promise<void>): void {
    this.hasEngineTask = true
    runInBackground(task.finally(() => { this.hasEngineTask = false }), log, name)
  }

  /** Closes the engine to new requests while the last chunks arrive, so that running ones finish meanwhile. */
  private closeEarly (model: string, wanted: NamedVersion, report: EngineReport): void {
    const chunks = this.versions.get(model, wanted.version)
    if (chunks === undefined || chunks.isComplete || this.hasEngineTask || this.served === 0) return
    const completeAt = expectedCompletionAt({ held: chunks.heldCount, total: chunks.digests.length, startedAt: this.versions.fetchStartedAt }, monotonicNow(), earlyCloseShare)
    if (completeAt !== undefined) this.swapper.closeWhenDue(this.swapRequest(wanted, report), completeAt, false)
  }

  private swapRequest (target: NamedVersion, report: EngineReport): SwapRequest {
    return { report, target, rolloutDeadline: target.since + this.settings.rolloutMilliseconds, isResumable: this.rollout.facts?.isResumable ?? false }
  }

  private handleRequest (incoming: IncomingMessage, response: ServerResponse): void {
    const [, kind = '', model = '', version = '', position = ''] = (incoming.url ?? '').split('/')
    const chunks: VersionChunks | undefined = this.versions.get(model, Number(version))
    const chunk = chunks?.get(Number(position))
    if (kind === 'metrics') response.end(this.metrics.render())
    else if (kind === 'manifest' && chunks !== undefined) response.end(JSON.stringify(chunks.digests))
    else if (kind === 'chunks' && chunk !== undefined) runInBackground(this.uploads.send(chunk, response), log, 'send a chunk')
    else response.writeHead(404).end()
  }
}
