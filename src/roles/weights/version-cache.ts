/** Versions of a model's weights in an agent's memory, and the fetching of the one that is wanted. */
import type { Agent } from 'node:http'
import type { FetchProgress } from '../../core/weights/swap-schedule.js'
import { callHttp } from '../../transports/http-call.js'
import type { OriginFacts } from '../../types/fleet.js'
import type { EnginePort, OriginPort } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { ChunkFetcher } from './chunk-fetcher.js'
import { VersionChunks } from './chunk-store.js'
import type { PeerTable } from './peer-table.js'

const log = logFor('exchange')

/** Longest time of a call for a manifest, and pause before the next, milliseconds. */
const manifestTimeoutMilliseconds = 300
/** Versions that are kept: the one that is fetched, and the one before, which others may still fetch. */
const maximumVersions = 2

/** What a library uses. */
export interface VersionCacheContext {
  readonly ip: string
  readonly internalPort: number
  readonly engine: EnginePort
  readonly origin: OriginPort
  readonly peers: PeerTable
  readonly httpAgent: Agent
  originFacts (): OriginFacts | undefined
  chunkBytes (): number
  /** Told when the held chunks have changed. */
  onChunksChanged (): void
  /** Told of a chunk that no agent had before. */
  onOriginChunk (position: number): void
}

/** The library. */
export class VersionCache {
  private readonly versions: VersionChunks[] = []
  private fetcher: ChunkFetcher | undefined
  private openRetryAt = 0
  private isOpening = false
  /** Whether this process has looked for chunks that an earlier one staged. */
  private hasLoadedStaged = false

  constructor (private readonly context: VersionCacheContext) {}

  /** A version whose manifest is known. */
  get (model: string, version: number): VersionChunks | undefined {
    return this.versions.find(chunks => chunks.model === model && chunks.version === version)
  }

  /** The newest version of which every chunk is held. */
  newestComplete (model: string): VersionChunks | undefined {
    return this.versions.filter(chunks => chunks.model === model && chunks.isComplete).sort((left, right) => left.version - right.version).at(-1)
  }

  /** The version that is fetched, or was last. */
  get current (): VersionChunks | undefined {
    return this.fetcher?.chunks
  }

  /** How far the current fetch is; undefined before the first. */
  get progress (): FetchProgress | undefined {
    const { current, fetchStartedAt: fetchStartedAt } = this
    return current === undefined ? undefined : { held: current.heldCount, total: current.digests.length, startedAt: fetchStartedAt }
  }

  /** Steady milliseconds at which the current fetch began. */
  get fetchStartedAt (): number {
    return this.fetcher?.wantedAt ?? 0
  }

  /** Makes progress with a version that is wanted since `since`, steady milliseconds. */
  fetchVersion (model: string, version: number, since: number): void {
    if (this.current?.model === model && this.current.version === version) {
      this.fetcher?.startFetches()
      return
    }
    const now = steadyNow()
    if (this.isOpening || now < this.openRetryAt) return
    this.openRetryAt = now + manifestTimeoutMilliseconds
    this.isOpening = true
    runInBackground(this.open(model, version, since).finally(() => { this.isOpening = false }), log, 'open a version')
  }

  /** Draws what can be drawn now. */
  startFetches (): void {
    this.fetcher?.startFetches()
  }

  stop (): void {
    this.fetcher?.stop()
  }

  private async open (model: string, version: number, since: number): Promise<void> {
    const chunks = this.get(model, version) ?? await this.load(model, version)
    this.fetcher?.stop()
    this.fetcher = new ChunkFetcher({ ...this.context, onChunkStored: (position, isFromOrigin) => { this.handleStoredChunk(position, isFromOrigin) } }, chunks, steadyNow())
    log.info('fetching weights', { model, version, chunks: chunks.digests.length, held: chunks.heldCount, peers: this.context.peers.all().length, sinceMilliseconds: Math.round(steadyNow() - since) })
    this.context.onChunksChanged()
    this.fetcher.startFetches()
  }

  private handleStoredChunk (position: number, isFromOrigin: boolean): void {
    this.context.onChunksChanged()
    if (isFromOrigin) this.context.onOriginChunk(position)
  }

  private async load (model: string, version: number): Promise<VersionChunks> {
    const chunks = new VersionChunks(model, version, await this.fetchDigests(model, version))
    if (!this.hasLoadedStaged) await this.loadStaged(chunks)
    this.hasLoadedStaged = true
    this.versions.push(chunks)
    if (this.versions.length > maximumVersions) this.versions.shift()
    return chunks
  }

  /** Takes the chunks of a version that an earlier process of this agent staged on the engine's machine. */
  private async loadStaged (chunks: VersionChunks): Promise<void> {
    try {
      for (const position of await this.context.engine.staged(chunks.model)) {
        const bytes = await this.context.engine.stagedChunk(chunks.model, position)
        if (bytes !== undefined) chunks.put(position, bytes)
      }
    } catch (error) {
      log.warn('staged chunks could not be read', { model: chunks.model, reason: String(error) })
    }
  }

  /** Digests from an agent that has them, else from the origin. */
  private async fetchDigests (model: string, version: number): Promise<readonly string[]> {
    const { peers, internalPort, httpAgent, origin } = this.context
    for (const { ip } of peers.all()) {
      if (!peers.hasManifest(ip, model, version)) continue
      try {
        const answer = await callHttp({ address: `${ip}:${internalPort}`, method: 'GET', path: `/manifest/${model}/${version}`, deadline: steadyNow() + manifestTimeoutMilliseconds, agent: httpAgent })
        if (answer.status === 200) return JSON.parse(answer.body.toString()) as readonly string[]
      } catch (error) {
        log.warn('an agent gave no manifest', { ip, model, version, reason: String(error) })
      }
    }
    const facts = this.context.originFacts()
    if (facts === undefined) throw new Error('the configuration names no origin of weights')
    return await origin.digests(facts.address, model, version)
  }
}
