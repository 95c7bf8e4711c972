/** Fetches the chunks of one version from the origin and from other agents. */
import { Agent } from 'node:http'
import { countBits, emptyBitmap, unionBitmap, type Bitmap } from '../../core/weights/bitmap.js'
import { nextDistributionFetch, fetchRanks, type DistributionFetch, type DistributionPeer, type FetchRanks } from '../../core/weights/distribution-plan.js'
import { callHttp } from '../../transports/http-call.js'
import type { OriginFacts } from '../../types/fleet.js'
import type { OriginPort } from '../../types/ports.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { Holder, PeerTable } from './peer-table.js'

const log = logFor('exchange')

/** Longest time of a draw from a peer, milliseconds: three chunks at once on its link take 120 ms. */
const peerMilliseconds = 1500
/** Pause before a peer that failed is asked again, milliseconds: it doubles with each failure in a row. */
const peerBackoffMilliseconds = { first: 400, most: 6400 } as const
/** Pause before the origin is asked again after a failure, milliseconds. */
const originBackoffMilliseconds = 250

/** Time of a copy from an origin whose link is not stated, milliseconds. */
const unknownCopyMilliseconds = 3000

/** Time between two log lines about a fetch that is not done, milliseconds. */
const progressMilliseconds = 1500

/** What a fetcher reads. */
export interface FetchContext {
  readonly ip: string
  readonly internalPort: number
  readonly origin: OriginPort
  readonly peers: PeerTable
  originFacts (): OriginFacts | undefined
  /** Bytes of one chunk. */
  chunkBytes (): number
  /** Told of each sound chunk, and whether it came from the origin. */
  onChunkStored (position: number, isFromOrigin: boolean): void
}

/** An agent that sends to others just now. */
class BusyPeer extends Error {
  /** `backAt` in steady milliseconds. */
  constructor (readonly backAt: number) {
    super('the agent is busy')
  }
}

/** One version's fetcher. */
export class ChunkFetcher {
  private readonly agent = new Agent({ keepAlive: true })
  private readonly inFlight = new Set<number>()
  private readonly peerDraws = new Map<string, number>()
  private readonly peerBackAt = new Map<string, number>()
  /** Draws in a row that failed, by peer. */
  private readonly peerFailures = new Map<string, number>()
  private originInFlight = 0
  private originBackAt = 0
  private ranks: FetchRanks | undefined
  private rankedFor = ''
  private isStopped = false
  private progressAt = 0
  private busy = 0
  /** Steady milliseconds of the last chunk from the origin. */
  private originUntil = 0
  /** Chunks by source, for the log. */
  private readonly drawn = { origin: 0, near: 0, far: 0, unsound: 0 }

  constructor (private readonly context: FetchContext, readonly chunks: VersionChunks, readonly wantedAt: number) {}

  stop (): void {
    this.isStopped = true
    this.agent.destroy()
  }

  /** Starts every draw that can start now. */
  startFetches (): void {
    if (this.isStopped || this.chunks.isComplete) return
    for (let draw = this.next(); draw !== undefined; draw = this.next()) this.start(draw)
    this.logProgress()
  }

  private logProgress (): void {
    const now = steadyNow()
    if (now < this.progressAt) return
    this.progressAt = now + progressMilliseconds
    const holders = this.holders()
    log.info('weights are not whole yet', {
      model: this.chunks.model,
      version: this.chunks.version,
      held: this.chunks.heldCount,
      chunks: this.chunks.digests.length,
      inFlight: [...this.inFlight].join(),
      originInFlight: this.originInFlight,
      originBackMilliseconds: Math.max(0, Math.round(this.originBackAt - now)),
      holders: holders.map(({ ip, held }) => `${ip}:${countBits(held, this.chunks.digests.length)}`).join(' '),
      milliseconds: Math.round(now - this.wantedAt)
    })
  }

  private next (): DistributionFetch | undefined {
    const now = steadyNow()
    const holders = this.holders()
    return nextDistributionFetch({
      now,
      total: this.chunks.digests.length,
      held: this.chunks.held,
      ranks: this.currentRanks(),
      wantedAt: this.wantedAt,
      peers: holders.map(holder => this.peerOf(holder)),
      offered: this.offeredBy(holders),
      inFlight: this.inFlight,
      originInFlight: this.originInFlight,
      originRetryAt: this.context.originFacts() === undefined ? Infinity : this.originBackAt,
      originCopyMilliseconds: this.originCopyMilliseconds
    })
  }

  private holders (): readonly Holder[] {
    return this.context.peers.holders(this.chunks.model, this.chunks.version, this.chunks.digests.length)
  }

  private peerOf ({ ip, isSameDataCentre: isNear, held }: Holder): DistributionPeer {
    return { ip, isInSameDataCentre: isNear, held, inFlight: this.peerDraws.get(ip) ?? 0, retryAt: this.peerBackAt.get(ip) ?? 0 }
  }

  /** What a failing peer says that it holds keeps nobody from the origin. */
  private offeredBy (holders: readonly Holder[]): Bitmap {
    return holders
      .filter(({ ip }) => !this.peerFailures.has(ip))
      .reduce((all, { held, heldInDataCentre: nearby }) => unionBitmap(unionBitmap(all, held), nearby), emptyBitmap(this.chunks.digests.length))
  }

  private currentRanks (): FetchRanks {
    const all = this.context.peers.all()
    const key = all.map(({ ip }) => ip).join()
    if (this.ranks === undefined || key !== this.rankedFor) {
      this.ranks = fetchRanks(this.chunks.digests.length, this.context.ip, all.map(({ ip }) => ip), all.filter(({ isSameDataCentre: isNear }) => isNear).map(({ ip }) => ip))
      this.rankedFor = key
    }
    return this.ranks
  }

  private get originCopyMilliseconds (): number {
    const bytesPerSecond = this.context.originFacts()?.bytesPerSecond ?? 0
    const bytes = this.chunks.digests.length * this.context.chunkBytes()
    return bytesPerSecond === 0 ? unknownCopyMilliseconds : bytes / bytesPerSecond * 1000
  }

  private start (draw: DistributionFetch): void {
    this.inFlight.add(draw.position)
    this.count(draw, 1)
    const bytes = draw.peer === undefined ? this.askOrigin(draw.position) : this.askPeer(draw.peer, draw.position)
    bytes
      .then(chunk => { this.take(draw, chunk) })
      .catch((error: unknown) => {
        if (error instanceof BusyPeer && draw.peer !== undefined) {
          this.busy += 1
          this.peerFailures.delete(draw.peer)
          this.peerBackAt.set(draw.peer, error.backAt)
        } else this.noteFailure(draw, String(error))
      })
      .finally(() => {
        this.inFlight.delete(draw.position)
        this.count(draw, -1)
        this.startFetches()
      })
  }

  private take (draw: DistributionFetch, chunk: Buffer): void {
    if (this.isStopped || this.chunks.has(draw.position)) return
    if (!this.chunks.put(draw.position, chunk)) {
      this.drawn.unsound += 1
      this.noteFailure(draw, 'the digest does not match')
      return
    }
    if (draw.peer !== undefined) this.peerFailures.delete(draw.peer)
    if (draw.peer === undefined) this.drawn.origin += 1
    else if (this.context.peers.isSameDataCentre(draw.peer)) this.drawn.near += 1
    else this.drawn.far += 1
    if (draw.peer === undefined) this.originUntil = steadyNow()
    if (this.chunks.isComplete) log.info('weights are held whole', { model: this.chunks.model, version: this.chunks.version, ...this.drawn, busy: this.busy, originMilliseconds: Math.round(this.originUntil - this.wantedAt), milliseconds: Math.round(steadyNow() - this.wantedAt) })
    this.context.onChunkStored(draw.position, draw.peer === undefined)
  }

  private noteFailure (draw: DistributionFetch, reason: string): void {
    if (this.isStopped) return
    log.warn('a chunk could not be drawn', { model: this.chunks.model, version: this.chunks.version, position: draw.position, source: draw.peer ?? 'origin', reason })
    if (draw.peer === undefined) {
      this.originBackAt = steadyNow() + originBackoffMilliseconds
      return
    }
    const failures = (this.peerFailures.get(draw.peer) ?? 0) + 1
    this.peerFailures.set(draw.peer, failures)
    const pause = Math.min(peerBackoffMilliseconds.most, peerBackoffMilliseconds.first * 2 ** (failures - 1))
    this.peerBackAt.set(draw.peer, steadyNow() + pause)
  }

  private count (draw: DistributionFetch, by: number): void {
    if (draw.peer === undefined) this.originInFlight += by
    else this.peerDraws.set(draw.peer, (this.peerDraws.get(draw.peer) ?? 0) + by)
  }

  private askOrigin (position: number): Promise<Buffer> {
    const { model, version } = this.chunks
    return this.context.origin.chunk(this.context.originFacts()?.address ?? '', model, version, position)
  }

  private async askPeer (ip: string, position: number): Promise<Buffer> {
    const { model, version } = this.chunks
    const path = `/chunks/${model}/${version}/${position}`
    const answer = await callHttp({ address: `${ip}:${this.context.internalPort}`, method: 'GET', path, deadline: steadyNow() + peerMilliseconds, agent: this.agent })
    if (answer.status === 503) throw new BusyPeer(steadyNow() + Number(answer.headers['retry-after'] ?? 0) * 1000)
    if (answer.status !== 200) throw new Error(`the agent answered ${answer.status}`)
    return answer.body
  }
}
