/** Versions of a model's weights in an agent's memory, and the fetch of the current one. */
import type { Agent } from 'node:http'
import { originSource, type DigestDoubts } from '../../core/weights/digest-doubt.js'
import { checkManifest } from '../../core/weights/manifest.js'
import type { FetchProgress } from '../../core/weights/swap-schedule.js'
import { callHttp, maximumAnswerBytes } from '../../transports/http-call.js'
import type { OriginFacts } from '../../types/fleet.js'
import type { EnginePort, OriginPort } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { monotonicNow, sleepUntil } from '../../utils/clock.js'
import { digestBytes } from '../../utils/digest.js'
import { logFor } from '../../utils/log.js'
import { ChunkFetcher } from './chunk-fetcher.js'
import { VersionChunks } from './chunk-store.js'
import { DigestLookUp } from './digest-look-up.js'
import type { PeerTable } from './peer-table.js'

const log = logFor('exchange')

/** Timeout of a manifest request to an agent of the same data centre and of another one, to which the link may be full, milliseconds. */
const manifestTimeoutMilliseconds = { sameDataCentre: 300, otherDataCentre: 3000 } as const
/** Agents of each kind that are asked for a manifest before the origin. */
const maximumManifestSources = 2
/** Minimum time between two attempts to start a fetch, milliseconds. */
const openIntervalMilliseconds = 300
/** Minimum time between two attempts to confirm a digest that is in doubt, milliseconds. */
const confirmIntervalMilliseconds = 1000
/** Maximum number of cached versions: the one that is being fetched, and the one before, which peers may still fetch. */
const maximumVersions = 2

/** Dependencies of a cache. */
export interface VersionCacheContext {
  readonly ip: string
  readonly internalPort: number
  readonly engine: EnginePort
  readonly origin: OriginPort
  readonly peers: PeerTable
  readonly httpAgent: Agent
  /** Origin in the current configuration; undefined when it has none. */
  originFacts (): OriginFacts | undefined
  /** Number of chunks of a version, and size of one, bytes; 0 while unknown. */
  chunkCount (): number
  chunkBytes (): number
  /** Called when a fetch starts and after each stored chunk. */
  onChunksChanged (): void
  /** Called after a chunk was fetched from the origin. */
  onOriginChunk (position: number): void
  /** Called when an earlier process has staged a complete copy of another version, with the digests of its chunks. */
  onOtherCopy (model: string, digests: readonly string[]): void
}

/** Holds the latest versions and runs one fetch at a time. */
export class VersionCache {
  private readonly versions: VersionChunks[] = []
  private fetcher: ChunkFetcher | undefined
  /** Milliseconds of the monotonic clock before which no other attempt to start a fetch is made. */
  private openRetryAt = 0
  private isOpening = false
  /** Milliseconds of the monotonic clock before which no other attempt is made to confirm a digest that is in doubt. */
  private confirmRetryAt = 0
  /** Whether this process has read the chunks that an earlier one staged. */
  private hasLoadedStaged = false
  /** Digests of a version that is served and not fetched. */
  readonly lookUp = new DigestLookUp(async (model, version) => await this.fetchDigests(model, version))

  constructor (private readonly context: VersionCacheContext) {}

  /** A cached version; undefined unless its manifest is known. */
  get (model: string, version: number): VersionChunks | undefined {
    return this.versions.find(chunks => chunks.model === model && chunks.version === version)
  }

  /** The newest cached version of which every chunk is held. */
  newestComplete (model: string): VersionChunks | undefined {
    return this.versions.filter(chunks => chunks.model === model && chunks.isComplete).sort((left, right) => left.version - right.version).at(-1)
  }

  /** The version of the current or last fetch; undefined before the first. */
  get current (): VersionChunks | undefined {
    return this.fetcher?.chunks
  }

  /** Progress of the current or last fetch; undefined before the first. */
  get progress (): FetchProgress | undefined {
    const { current, fetchStartedAt } = this
    return current === undefined ? undefined : { held: current.heldCount, total: current.digests.length, startedAt: fetchStartedAt }
  }

  /** Start of the current or last fetch, milliseconds of the monotonic clock; 0 before the first. */
  get fetchStartedAt (): number {
    return this.fetcher?.wantedAt ?? 0
  }

  /**
   * Starts or continues the fetch of a version; called repeatedly. `since`: when the version was named, milliseconds of
   * the monotonic clock, for the log.
   */
  fetchVersion (model: string, version: number, since: number): void {
    if (this.current?.model === model && this.current.version === version) {
      this.fetcher?.startFetches()
      return
    }
    const now = monotonicNow()
    if (this.isOpening || now < this.openRetryAt) return
    this.openRetryAt = now + openIntervalMilliseconds
    this.isOpening = true
    runInBackground(this.open(model, version, since).finally(() => { this.isOpening = false }), log, 'start fetching a version')
  }

  /** Starts the fetches of the current version that are due. */
  startFetches (): void {
    this.fetcher?.startFetches()
  }

  stop (): void {
    this.fetcher?.stop()
  }

  private async open (model: string, version: number, since: number): Promise<void> {
    const chunks = this.get(model, version) ?? await this.load(model, version)
    this.fetcher?.stop()
    this.fetcher = this.createFetcher(chunks, monotonicNow())
    log.info('fetching weights', { model, version, chunks: chunks.digests.length, held: chunks.heldCount, peers: this.context.peers.all().length, sinceMilliseconds: Math.round(monotonicNow() - since) })
    this.context.onChunksChanged()
    this.fetcher.startFetches()
  }

  private createFetcher (chunks: VersionChunks, wantedAt: number): ChunkFetcher {
    return new ChunkFetcher({
      ...this.context,
      onChunkStored: (position, isFromOrigin) => { this.handleStoredChunk(position, isFromOrigin) },
      onDigestDoubted: doubts => { this.handleDoubt(chunks, doubts) }
    }, chunks, wantedAt)
  }

  private handleDoubt (chunks: VersionChunks, doubts: DigestDoubts): void {
    const now = monotonicNow()
    if (now < this.confirmRetryAt) return
    this.confirmRetryAt = now + confirmIntervalMilliseconds
    runInBackground(this.correct(chunks, doubts), log, 'confirm a digest that is in doubt')
  }

  /** Asks for the digests again, the origin first, since agents may have the same list; goes on with a corrected list if another one has the digests of what arrived. */
  private async correct (chunks: VersionChunks, doubts: DigestDoubts): Promise<void> {
    const { model, version } = chunks
    const { peers } = this.context
    const holders = peers.all().filter(({ ip }) => peers.hasManifest(ip, model, version)).slice(0, maximumManifestSources)
    const fromAgents = holders.map(({ ip, isSameDataCentre }) => ({ source: ip, fetch: () => this.fetchFromAgent(ip, model, version, manifestTimeoutMilliseconds[isSameDataCentre ? 'sameDataCentre' : 'otherDataCentre']) }))
    for (const { source, fetch } of [{ source: originSource, fetch: () => this.fetchFromOrigin(model, version) }, ...fromAgents]) {
      const digests = await fetch().catch((error: unknown) => { log.warn('could not fetch a manifest again', { model, version, source, reason: String(error) }) })
      if (this.current !== chunks) return
      if (digests === undefined) continue
      const agreed = source === originSource ? doubts.recordOriginList(digests, chunks.digests) : []
      if (agreed.length > 0) log.warn('chunks arrive that the origin does not list; their digests stay', { model, version, positions: agreed.join() })
      // A chunk that has arrived meanwhile shows that its digest is right.
      const wrong = doubts.confirmedBy(digests, source).filter(({ position }) => !chunks.has(position))
      if (wrong.length === 0) continue
      log.warn('the manifest had wrong digests; continuing with those of another copy', { model, version, source, positions: wrong.map(({ position }) => position).join() })
      this.replace(chunks, chunks.withDigests(wrong))
      return
    }
  }

  /** Continues the fetch of a version with another list of its digests. */
  private replace (chunks: VersionChunks, corrected: VersionChunks): void {
    const { fetchStartedAt } = this
    this.versions.splice(this.versions.indexOf(chunks), 1, corrected)
    this.fetcher?.stop()
    this.fetcher = this.createFetcher(corrected, fetchStartedAt)
    this.context.onChunksChanged()
    this.fetcher.startFetches()
  }

  private handleStoredChunk (position: number, isFromOrigin: boolean): void {
    this.context.onChunksChanged()
    if (isFromOrigin) this.context.onOriginChunk(position)
  }

  /** Adds a version to the cache; the first one of this process starts with the chunks that an earlier process staged. */
  private async load (model: string, version: number): Promise<VersionChunks> {
    const chunks = new VersionChunks(model, version, await this.fetchDigests(model, version))
    if (!this.hasLoadedStaged) await this.loadStaged(chunks)
    this.hasLoadedStaged = true
    this.versions.push(chunks)
    if (this.versions.length > maximumVersions) this.versions.shift()
    return chunks
  }

  /** Reads chunks of a version that an earlier process of this agent staged on the engine's machine. */
  private async loadStaged (chunks: VersionChunks): Promise<void> {
    try {
      const digests: string[] = []
      for (const position of await this.context.engine.staged(chunks.model)) {
        const bytes = await this.context.engine.stagedChunk(chunks.model, position)
        if (bytes === undefined) continue
        digests[position] = digestBytes(bytes)
        chunks.put(position, bytes)
      }
      const stagedCount = Object.keys(digests).length
      if (stagedCount >= chunks.digests.length && chunks.heldCount < stagedCount / 2) this.context.onOtherCopy(chunks.model, digests)
    } catch (error) {
      log.warn('could not read staged chunks', { model: chunks.model, reason: String(error) })
    }
  }

  /** Whether most of the chunks with these digests are of a version. Throws if its manifest cannot be fetched. */
  async isMostlyOf (model: string, version: number, digests: readonly string[]): Promise<boolean> {
    const expected = this.get(model, version)?.digests ?? await this.fetchDigests(model, version)
    return expected.filter((digest, position) => digest === digests[position]).length > expected.length / 2
  }

  /** Fetches the digests from an agent of the same data centre that has them, else from others and the origin; throws when no source answers. */
  private async fetchDigests (model: string, version: number): Promise<readonly string[]> {
    const { peers } = this.context
    const holders = peers.all().filter(({ ip }) => peers.hasManifest(ip, model, version))
    for (const { ip } of holders.filter(({ isSameDataCentre }) => isSameDataCentre).slice(0, maximumManifestSources)) {
      try {
        return await this.fetchFromAgent(ip, model, version, manifestTimeoutMilliseconds.sameDataCentre)
      } catch (error) {
        log.warn('could not fetch a manifest from an agent', { ip, model, version, reason: String(error) })
      }
    }
    const remote = holders.filter(({ isSameDataCentre }) => !isSameDataCentre).slice(0, maximumManifestSources)
    return await this.fetchRemotely(remote.map(({ ip }) => ip), model, version)
  }

  /** Asks agents of other data centres and, if none answers soon, the origin beside them: one that is slow may still be the first. */
  private async fetchRemotely (ips: readonly string[], model: string, version: number): Promise<readonly string[]> {
    let isFetched = false
    const fetches = ips.map(async ip => await this.fetchFromAgent(ip, model, version, manifestTimeoutMilliseconds.otherDataCentre))
    const fetchFromOrigin = async (): Promise<readonly string[]> => {
      if (ips.length > 0) await sleepUntil(monotonicNow() + manifestTimeoutMilliseconds.sameDataCentre)
      if (isFetched) throw new Error('an agent has answered')
      return await this.fetchFromOrigin(model, version)
    }
    try {
      return await Promise.any([...fetches, fetchFromOrigin()])
    } catch (error) {
      throw error instanceof AggregateError ? error.errors.at(-1) : error
    } finally {
      isFetched = true
    }
  }

  private async fetchFromOrigin (model: string, version: number): Promise<readonly string[]> {
    const facts = this.context.originFacts()
    if (facts === undefined) throw new Error('the configuration has no origin of weights')
    return this.check(await this.context.origin.digests(facts.address, model, version))
  }

  private async fetchFromAgent (ip: string, model: string, version: number, timeoutMilliseconds: number): Promise<readonly string[]> {
    const { internalPort, httpAgent } = this.context
    const answer = await callHttp({ address: `${ip}:${internalPort}`, method: 'GET', path: `/manifest/${model}/${version}`, deadline: monotonicNow() + timeoutMilliseconds, maximumBytes: maximumAnswerBytes.manifest, agent: httpAgent })
    if (answer.status !== 200) throw new Error(`the agent answered ${answer.status}`)
    return this.check(JSON.parse(answer.body.toString()))
  }

  private check (digests: unknown): readonly string[] {
    return checkManifest(digests, this.context.chunkCount())
  }
}
