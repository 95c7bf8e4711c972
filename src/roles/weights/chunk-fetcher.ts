/** Fetches the chunks of one version from the origin and from other agents. */
import { countBits, hasBit, unionOf, type Bitmap } from '../../core/weights/bitmap.js'
import { maximumFetches, nextDistributionFetch, fetchRanks, originPlaces, type DistributionFetch, type DistributionPeer, type FetchRanks } from '../../core/weights/distribution-plan.js'
import { DigestDoubts, originSource } from '../../core/weights/digest-doubt.js'
import { CheckedAgent } from '../../transports/checked-agent.js'
import { callHttp, maximumAnswerBytes } from '../../transports/http-call.js'
import type { OriginFacts } from '../../types/fleet.js'
import type { OriginPort } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { digestBytes } from '../../utils/digest.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { Holder, PeerTable } from './peer-table.js'

const log = logFor('exchange')

/** Timeout of a fetch from a peer of the same data centre, where three chunks at once on its link take 120 ms, and of another one, to which the link may be full, milliseconds. */
const peerTimeoutMilliseconds = { sameDataCentre: 1500, otherDataCentre: 3000 } as const
/** Backoff after a failed fetch from a peer, milliseconds; it doubles with each consecutive failure. */
const peerBackoffMilliseconds = { first: 400, maximum: 6400 } as const
/** Backoff after a failed fetch from the origin, milliseconds. */
const originBackoffMilliseconds = 150

/** Assumed time of one copy from an origin whose link speed is not configured, milliseconds. */
const defaultCopyMilliseconds = 3000

/** Time between two log lines about an unfinished fetch, milliseconds. */
const progressLogIntervalMilliseconds = 1500

/** Dependencies of a fetcher. */
export interface FetchContext {
  readonly ip: string
  readonly internalPort: number
  readonly origin: OriginPort
  readonly peers: PeerTable
  /** Origin in the current configuration; undefined when it has none. */
  originFacts (): OriginFacts | undefined
  /** Size of one chunk, bytes; 0 while unknown. */
  chunkBytes (): number
  /** Called after a valid chunk was stored. */
  onChunkStored (position: number, isFromOrigin: boolean): void
  /** Called when the same bytes have arrived again that do not match their digest: it may be wrong. */
  onDigestDoubted (doubts: DigestDoubts): void
}

/** Time for which a busy peer asks to be left alone, milliseconds: what cannot be read counts as none, and none is longer than the longest backoff. */
function busyMilliseconds (retryAfter: string | undefined): number {
  const milliseconds = Number(retryAfter ?? 0) * 1000
  return milliseconds > 0 ? Math.min(peerBackoffMilliseconds.maximum, milliseconds) : 0
}

/** Thrown when a peer has no free upload slot. */
class PeerBusyError extends Error {
  /** `retryAt` in milliseconds of the monotonic clock. */
  constructor (readonly retryAt: number) {
    super('the agent is busy')
  }
}

/** Fetches one version until it is complete or `stop` is called. */
export class ChunkFetcher {
  private readonly agent = new CheckedAgent({ keepAlive: true })
  /** Positions of the chunks that are being fetched. */
  private readonly inFlight = new Set<number>()
  /** Number of fetches in progress, by peer. */
  private readonly fetchesByPeer = new Map<string, number>()
  /** Milliseconds of the monotonic clock before which a peer is not asked again. */
  private readonly peerRetryAt = new Map<string, number>()
  /** Consecutive failures, by peer. */
  private readonly peerFailures = new Map<string, number>()
  /** When each position was first seen to be offered, milliseconds of the monotonic clock. */
  private readonly offeredAt = new Map<number, number>()
  private originInFlight = 0
  private originRetryAt = 0
  /** Start of the fetch, or the last failure of the origin, milliseconds of the monotonic clock. */
  private originSince: number
  private originPlaces: readonly number[]
  private ranks: FetchRanks | undefined
  /** Membership of the peer table for which `ranks` were computed. */
  private rankedMembership = -1
  private readonly doubts = new DigestDoubts()
  private isStopped = false
  private nextProgressLogAt = 0
  /** Number of busy answers from peers, for the log. */
  private busy = 0
  /** Milliseconds of the monotonic clock. */
  private lastOriginChunkAt = 0
  /** Received chunks by source, and corrupt ones, for the log. */
  private readonly chunkCounts = { origin: 0, sameDataCentre: 0, otherDataCentres: 0, corrupt: 0 }

  /** `wantedAt`: start of the fetch, milliseconds of the monotonic clock. */
  constructor (private readonly context: FetchContext, readonly chunks: VersionChunks, readonly wantedAt: number) {
    this.originSince = wantedAt
    this.originPlaces = originPlaces(chunks.digests.length, chunks.held)
  }

  /** Starts no more fetches, closes the connections to peers and ignores chunks that still arrive. */
  stop (): void {
    this.isStopped = true
    this.agent.destroy()
  }

  /** Starts every fetch that is due and for which a source is available. */
  startFetches (): void {
    if (this.isStopped || this.chunks.isComplete) return
    for (let chunkFetch = this.next(); chunkFetch !== undefined; chunkFetch = this.next()) this.start(chunkFetch)
    this.logProgress()
  }

  private logProgress (): void {
    const now = monotonicNow()
    if (now < this.nextProgressLogAt) return
    this.nextProgressLogAt = now + progressLogIntervalMilliseconds
    const holders = this.holders()
    log.info('weights are not complete yet', {
      model: this.chunks.model,
      version: this.chunks.version,
      held: this.chunks.heldCount,
      chunks: this.chunks.digests.length,
      inFlight: [...this.inFlight].join(),
      originInFlight: this.originInFlight,
      originRetryMilliseconds: Math.max(0, Math.round(this.originRetryAt - now)),
      holders: holders.map(({ ip, held }) => `${ip}:${countBits(held, this.chunks.digests.length)}`).join(' '),
      milliseconds: Math.round(now - this.wantedAt)
    })
  }

  private next (): DistributionFetch | undefined {
    if (this.inFlight.size >= maximumFetches) return undefined
    const now = monotonicNow()
    const holders = this.holders()
    const offered = this.offeredBy(holders)
    this.noteOffers(offered, now)
    return nextDistributionFetch({
      now,
      total: this.chunks.digests.length,
      held: this.chunks.held,
      ranks: this.currentRanks(),
      originSince: this.originSince,
      originPlaces: this.originPlaces,
      peers: holders.map(holder => this.toSpreadPeer(holder)),
      offered,
      offeredAt: this.offeredAt,
      inFlight: this.inFlight,
      originInFlight: this.originInFlight,
      originRetryAt: this.context.originFacts() === undefined ? Infinity : this.originRetryAt,
      originCopyMilliseconds: this.originCopyMilliseconds
    })
  }

  private holders (): readonly Holder[] {
    return this.context.peers.holders(this.chunks.model, this.chunks.version, this.chunks.digests.length)
  }

  private toSpreadPeer ({ ip, isSameDataCentre, held }: Holder): DistributionPeer {
    return { ip, isInSameDataCentre: isSameDataCentre, held, inFlight: this.fetchesByPeer.get(ip) ?? 0, retryAt: this.peerRetryAt.get(ip) ?? 0 }
  }

  /**
   * Chunks that peers hold or report as held in their data centre, for which the origin is asked later. Failing peers
   * are left out, so that the origin is asked without this delay for what only they offer.
   */
  private offeredBy (holders: readonly Holder[]): Bitmap {
    const offering = holders.filter(({ ip }) => !this.peerFailures.has(ip))
    return unionOf(this.chunks.digests.length, offering.flatMap(({ held, heldInDataCentre }) => [held, heldInDataCentre]))
  }

  private noteOffers (offered: Bitmap, now: number): void {
    for (let position = 0; position < this.chunks.digests.length; position += 1) {
      if (!this.offeredAt.has(position) && hasBit(offered, position)) this.offeredAt.set(position, now)
    }
  }

  private currentRanks (): FetchRanks {
    const { membership } = this.context.peers
    if (this.ranks === undefined || membership !== this.rankedMembership) {
      const peers = this.context.peers.all()
      this.ranks = fetchRanks(this.chunks.digests.length, this.context.ip, peers.map(({ ip }) => ip), peers.filter(({ isSameDataCentre }) => isSameDataCentre).map(({ ip }) => ip))
      this.rankedMembership = membership
    }
    return this.ranks
  }

  private get originCopyMilliseconds (): number {
    const bytesPerSecond = this.context.originFacts()?.bytesPerSecond ?? 0
    const bytes = this.chunks.digests.length * this.context.chunkBytes()
    return bytesPerSecond === 0 ? defaultCopyMilliseconds : bytes / bytesPerSecond * 1000
  }

  private start (chunkFetch: DistributionFetch): void {
    this.inFlight.add(chunkFetch.position)
    this.count(chunkFetch, 1)
    const bytes = chunkFetch.peer === undefined ? this.fetchFromOrigin(chunkFetch.position) : this.fetchFromPeer(chunkFetch.peer, chunkFetch.position)
    bytes
      .then(chunk => { this.storeChunk(chunkFetch, chunk) })
      .catch((error: unknown) => {
        if (error instanceof PeerBusyError && chunkFetch.peer !== undefined) {
          this.busy += 1
          this.peerFailures.delete(chunkFetch.peer)
          this.peerRetryAt.set(chunkFetch.peer, error.retryAt)
        } else this.recordFailure(chunkFetch, String(error))
      })
      .finally(() => {
        this.inFlight.delete(chunkFetch.position)
        this.count(chunkFetch, -1)
        this.startFetches()
      })
  }

  private storeChunk (chunkFetch: DistributionFetch, chunk: Buffer): void {
    if (this.isStopped || this.chunks.has(chunkFetch.position)) return
    if (!this.chunks.put(chunkFetch.position, chunk)) {
      this.chunkCounts.corrupt += 1
      this.recordFailure(chunkFetch, 'the digest does not match')
      if (this.doubts.recordMismatch(chunkFetch.position, digestBytes(chunk), chunk, chunkFetch.peer ?? originSource)) this.context.onDigestDoubted(this.doubts)
      return
    }
    if (chunkFetch.peer !== undefined) this.peerFailures.delete(chunkFetch.peer)
    if (chunkFetch.peer === undefined) this.chunkCounts.origin += 1
    else if (this.context.peers.isSameDataCentre(chunkFetch.peer)) this.chunkCounts.sameDataCentre += 1
    else this.chunkCounts.otherDataCentres += 1
    if (chunkFetch.peer === undefined) this.lastOriginChunkAt = monotonicNow()
    if (this.chunks.isComplete) log.info('weights are complete', { model: this.chunks.model, version: this.chunks.version, ...this.chunkCounts, busy: this.busy, originMilliseconds: Math.round(this.lastOriginChunkAt - this.wantedAt), milliseconds: Math.round(monotonicNow() - this.wantedAt) })
    this.context.onChunkStored(chunkFetch.position, chunkFetch.peer === undefined)
  }

  private recordFailure (chunkFetch: DistributionFetch, reason: string): void {
    if (this.isStopped) return
    log.warn('could not fetch a chunk', { model: this.chunks.model, version: this.chunks.version, position: chunkFetch.position, source: chunkFetch.peer ?? 'origin', reason })
    if (chunkFetch.peer === undefined) {
      this.originSince = monotonicNow()
      this.originRetryAt = this.originSince + originBackoffMilliseconds
      this.originPlaces = originPlaces(this.chunks.digests.length, unionOf(this.chunks.digests.length, [this.chunks.held, this.offeredBy(this.holders())]))
      return
    }
    const failures = (this.peerFailures.get(chunkFetch.peer) ?? 0) + 1
    this.peerFailures.set(chunkFetch.peer, failures)
    const backoff = Math.min(peerBackoffMilliseconds.maximum, peerBackoffMilliseconds.first * 2 ** (failures - 1))
    this.peerRetryAt.set(chunkFetch.peer, monotonicNow() + backoff)
  }

  private count (chunkFetch: DistributionFetch, by: number): void {
    if (chunkFetch.peer === undefined) this.originInFlight += by
    else this.fetchesByPeer.set(chunkFetch.peer, (this.fetchesByPeer.get(chunkFetch.peer) ?? 0) + by)
  }

  private fetchFromOrigin (position: number): Promise<Buffer> {
    const { model, version } = this.chunks
    return this.context.origin.chunk(this.context.originFacts()?.address ?? '', model, version, position)
  }

  private async fetchFromPeer (ip: string, position: number): Promise<Buffer> {
    const { model, version } = this.chunks
    const path = `/chunks/${model}/${version}/${position}`
    const timeoutMilliseconds = peerTimeoutMilliseconds[this.context.peers.isSameDataCentre(ip) ? 'sameDataCentre' : 'otherDataCentre']
    const answer = await callHttp({ address: `${ip}:${this.context.internalPort}`, method: 'GET', path, deadline: monotonicNow() + timeoutMilliseconds, maximumBytes: maximumAnswerBytes.chunk, agent: this.agent })
    if (answer.status === 503) throw new PeerBusyError(monotonicNow() + busyMilliseconds(answer.headers['retry-after']))
    if (answer.status !== 200) throw new Error(`the agent answered ${answer.status}`)
    return answer.body
  }
}
