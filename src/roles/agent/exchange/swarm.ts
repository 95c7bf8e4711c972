/** Fetches a manifest together with the peers of the data centre: one of them fetches each chunk from outside, the others get it from peers. */
import type { IncomingHttpHeaders } from 'node:http'
import PQueue from 'p-queue'
import { hasBitsOutside, parseBitmap } from '../../../core/weights/bitmap.js'
import { nextFetch, originWindowChunks, type PlannedFetch, type FetchInProgress, type PlanView } from '../../../core/weights/fetch-plan.js'
import { requestJson } from '../../../transports/http-client.js'
import { runInBackground } from '../../../utils/background.js'
import { waitUntil } from '../../../utils/clock.js'
import { digestBytes } from '../../../utils/digest.js'
import { logFor } from '../../../utils/log.js'
import { ChunkFetcher } from './fetcher.js'
import { heldHeaderNames, heldHeaders, hasAllChunks, type HeldWeights } from './holdings.js'
import { findManifest } from './manifest.js'
import type { ExchangeMember, HeldAnswer } from './options.js'
import { OutsideSources } from './outside-sources.js'
import { PeerTable } from './peer-table.js'
import { OutsideAssignments } from './outside-assignments.js'
import { downloadChunk, type ChunkResult } from './chunk-download.js'

const log = logFor('exchange')
const tickMilliseconds = 25
/** Concurrent fetches from peers, and from outside the data centre. */
const peerSlots = 4
const outsideSlots = 4
const fetchesPerPeer = 2
/** Time that the first polls of peers get before chunks are fetched from outside. */
const firstPollMilliseconds = 400
const pollMilliseconds = { minimum: 100, maximum: 1000 } as const
const answerTimeoutMilliseconds = 1000
/** Inactivity timeout of a fetch, and the shortest time before it is hedged. */
const stallTimeoutMilliseconds = 1500
const fetchTimeoutMilliseconds = 120_000
/** Typical fetch durations after which a fetch is hedged. */
const hedgeFactor = 6
/** The newest duration counts 1/8 in the moving averages. */
const smoothingFactor = 8
/** Typical outside fetch durations that a rank waits before it takes over from the one before it. */
const rankFactor = 4
/** Transfer times of a chunk at link speed between two polls of a peer. */
const pollFactor = 8
const minimumRankMilliseconds = 1500
/** Shortest additional wait for a chunk whose holder was lost. */
const minimumLostHolderMilliseconds = 2000
/** Assumed speed of a link without a rate limit, bytes per second. */
const defaultLinkBytes = 50 << 20

/** Swarm fetcher of one manifest. */
export class SwarmFetcher extends ChunkFetcher {
  private readonly queue = new PQueue({ concurrency: peerSlots + outsideSlots })
  private readonly fetches = new Map<number, { sources: string[], hedgeAt: number }>()
  private readonly assignments = new OutsideAssignments()
  private readonly primaryPolledAt = new Map<string, number>()
  private readonly sources = new OutsideSources(this.context.options)
  private readonly startedAt = Date.now()
  private peers = new PeerTable('', '', 0)
  private polling = new Set<string>()
  private peerFetches = 0
  /** Moving averages of the duration of a fetch from a peer and from outside, milliseconds. */
  private peerMilliseconds = 0
  private outsideMilliseconds = 0

  start (): void {
    runInBackground(this.run(), log, 'fetch weights')
  }

  override stop (): void {
    super.stop()
    this.queue.clear()
  }

  override handlePeerRequest (instance: string, headers: IncomingHttpHeaders): void {
    this.peers.add(this.localMembers().find(member => member.instance === instance))
    this.recordHeaders(instance, headers)
  }

  private async run (): Promise<void> {
    const { signal } = this.stopping
    const { options, holdings } = this.context
    const weights = await findManifest(options, holdings, this.wanted.manifest, signal)
    if (weights === undefined) return
    this.peers = new PeerTable(weights.digest, options.instance, weights.manifest.chunks.length)
    this.peerMilliseconds = weights.manifest.chunkBytes * peerSlots / (options.linkBytes || defaultLinkBytes) * 1000
    this.outsideMilliseconds = weights.manifest.chunkBytes * originWindowChunks / (options.linkBytes || defaultLinkBytes) * 1000
    this.context.onChange()
    while (!signal.aborted && !hasAllChunks(this.latestWeights(weights))) {
      this.refreshMembers(weights)
      this.pollPeers(weights)
      this.pollLatePrimaryFetchers(weights)
      this.startFetches(weights)
      await waitUntil(Date.now() + tickMilliseconds, signal)
    }
  }

  private latestWeights (first: HeldWeights): HeldWeights {
    return this.context.holdings.get(first.digest) ?? first
  }

  private localMembers (): readonly ExchangeMember[] {
    const { members, dataCentre } = this.context.options
    return members(this.wanted.manifest).filter(member => member.dataCentre === dataCentre)
  }

  private refreshMembers (weights: HeldWeights): void {
    const { options } = this.context
    const allMembers = options.members(this.wanted.manifest)
    const members = this.localMembers()
    const { unresponsive } = this.peers
    const key = unresponsive.join(' ') + allMembers.map(member => `${member.instance}@${member.address}`).join(' ')
    if (!this.assignments.haveMembersChanged(key)) return
    this.peers.setMembers(members)
    this.sources.setRemoteMembers(`${weights.digest}/${options.instance}`, allMembers.filter(member => member.dataCentre !== options.dataCentre))
    this.assignments.setMembers(weights.manifest.chunks, options.instance, members.map(member => member.instance).filter(instance => !unresponsive.includes(instance)))
  }

  /** Starts every fetch that can start now. */
  private startFetches (first: HeldWeights): void {
    this.assignments.refreshWaiting(this.latestWeights(first), this.peers.views, Math.max(minimumLostHolderMilliseconds, rankFactor * this.outsideMilliseconds))
    while (!this.stopping.signal.aborted) {
      const planned = nextFetch(this.view(this.latestWeights(first)))
      if (planned === undefined) return
      this.startFetch(first, planned)
    }
  }

  private view (weights: HeldWeights): PlanView {
    const total = weights.manifest.chunks.length
    const now = Date.now()
    const ready = this.peers.haveAllResponded || now > this.startedAt + firstPollMilliseconds
    return {
      now,
      total,
      held: weights.held,
      seen: weights.seen,
      assignments: this.assignments.current,
      waitingSince: this.assignments.waitingSince,
      fetches: this.fetches as ReadonlyMap<number, FetchInProgress>,
      peers: this.peers.views,
      freePeerSlots: peerSlots - this.peerFetches,
      sources: ready ? this.sources.views : [],
      rankMilliseconds: this.rankMilliseconds,
      fetchesPerPeer,
      startPosition: parseInt(digestBytes(this.context.options.instance).slice(0, 6), 16) % total
    }
  }

  private startFetch (weights: HeldWeights, planned: PlannedFetch): void {
    const typicalMilliseconds = planned.kind === 'outside' ? this.outsideMilliseconds : this.peerMilliseconds
    const hedgeAt = Date.now() + Math.max(stallTimeoutMilliseconds, hedgeFactor * typicalMilliseconds)
    const inProgress = this.fetches.get(planned.position) ?? { sources: [], hedgeAt }
    inProgress.sources.push(planned.source)
    inProgress.hedgeAt = hedgeAt
    this.fetches.set(planned.position, inProgress)
    this.recordStart(planned)
    const work = this.queue.add(async () => {
      const startedAt = Date.now()
      const result = await this.fetchChunk(weights, planned)
      this.recordEnd(planned)
      this.handleResult(weights, planned, result, Date.now() - startedAt)
    })
    runInBackground(work, log, 'fetch a chunk')
  }

  private recordStart (planned: PlannedFetch): void {
    if (planned.kind === 'outside') this.sources.recordStart(planned.source)
    else {
      this.peerFetches += 1
      this.peers.recordStart(planned.source)
    }
  }

  private recordEnd (planned: PlannedFetch): void {
    const inProgress = this.fetches.get(planned.position)
    const rest = inProgress?.sources.filter(source => source !== planned.source) ?? []
    if (inProgress !== undefined && rest.length > 0) inProgress.sources = rest
    else this.fetches.delete(planned.position)
    if (planned.kind === 'outside') this.sources.recordEnd(planned.source)
    else {
      this.peerFetches -= 1
      this.peers.recordEnd(planned.source)
    }
  }

  private async fetchChunk (weights: HeldWeights, planned: PlannedFetch): Promise<ChunkResult> {
    const digest = weights.manifest.chunks[planned.position]
    const url = planned.kind === 'outside' ? this.sources.url(planned.source) : this.peerUrl(planned.source)
    if (digest === undefined || url === undefined) return { type: 'failed', reason: 'the source is no longer known' }
    return await downloadChunk({
      url: `${url}/chunks/${digest}`,
      digest,
      maximumBytes: weights.manifest.chunkBytes,
      headers: planned.kind === 'peer' ? this.requestHeaders(weights) : {},
      stallTimeoutMilliseconds,
      deadline: Date.now() + fetchTimeoutMilliseconds,
      limiter: this.context.incoming,
      signal: this.stopping.signal
    })
  }

  private handleResult (weights: HeldWeights, planned: PlannedFetch, result: ChunkResult, milliseconds: number): void {
    if (this.stopping.signal.aborted) return
    if ('headers' in result && planned.kind === 'peer') this.recordHeaders(planned.source, result.headers)
    if (result.type === 'chunk') {
      this.recordSuccess(planned, milliseconds)
      this.context.holdings.addChunk(weights.manifest.chunks[planned.position] ?? '', result.bytes)
      this.context.onChange()
    } else {
      if (result.type !== 'busy') log.warn('chunk fetch failed', { source: planned.source, result: result.type })
      this.recordFailure(planned, result)
    }
    this.startFetches(weights)
  }

  private recordSuccess (planned: PlannedFetch, milliseconds: number): void {
    if (planned.kind === 'outside') {
      this.outsideMilliseconds += (milliseconds - this.outsideMilliseconds) / smoothingFactor
      this.sources.recordSuccess(planned.source)
    } else {
      this.peerMilliseconds += (milliseconds - this.peerMilliseconds) / smoothingFactor
      this.peers.recordSuccess(planned.source)
    }
  }

  private recordFailure (planned: PlannedFetch, result: ChunkResult): void {
    if (planned.kind === 'outside') {
      if (result.type === 'busy') this.sources.recordBusy(planned.source, result.retryAt)
      else this.sources.recordFault(planned.source)
      return
    }
    if (result.type === 'busy') this.peers.recordBusy(planned.source, result.retryAt)
    else this.peers.recordFault(planned.source, result.type !== 'failed')
  }

  private recordHeaders (instance: string, headers: IncomingHttpHeaders): void {
    const seen = this.peers.recordHeaders(instance, headers)
    if (seen !== undefined) this.context.holdings.mergeSeen(this.wanted.manifest, seen)
  }

  private requestHeaders (weights: HeldWeights): Readonly<Record<string, string>> {
    const { instance, dataCentre } = this.context.options
    return {
      ...heldHeaders(this.latestWeights(weights)),
      [heldHeaderNames.instance]: instance,
      [heldHeaderNames.dataCentre]: dataCentre,
      [heldHeaderNames.finishBy]: String(this.wanted.finishBy)
    }
  }

  private peerUrl (instance: string): string | undefined {
    const address = this.peers.address(instance)
    return address === undefined ? undefined : `http://${address}`
  }

  private pollPeers (weights: HeldWeights): void {
    const chunkMilliseconds = weights.manifest.chunkBytes / (this.context.options.linkBytes || defaultLinkBytes) * 1000
    const regularInterval = Math.min(pollMilliseconds.maximum, Math.max(pollMilliseconds.minimum, pollFactor * chunkMilliseconds))
    const interval = this.isStarved(weights) ? pollMilliseconds.minimum : regularInterval
    for (const member of this.peers.notReportedSince(Date.now() - interval)) {
      if (!this.polling.has(member.instance)) runInBackground(this.pollPeer(weights, member), log, 'poll a peer')
    }
  }

  private get rankMilliseconds (): number {
    return Math.max(minimumRankMilliseconds, rankFactor * this.outsideMilliseconds)
  }

  /** Polls the primary fetchers of overdue chunks, before this instance takes over from them. */
  private pollLatePrimaryFetchers (weights: HeldWeights): void {
    const now = Date.now()
    const late = this.assignments.latePrimaryFetchers(now - this.rankMilliseconds / 2)
    for (const member of this.localMembers()) {
      const isPolled = this.polling.has(member.instance) || (this.primaryPolledAt.get(member.instance) ?? 0) > now - this.rankMilliseconds / 4
      if (isPolled || !late.has(member.instance)) continue
      this.primaryPolledAt.set(member.instance, now)
      runInBackground(this.pollPeer(weights, member), log, 'poll a primary fetcher')
    }
  }

  /** Whether nothing is fetched from peers and no peer is known to hold a missing chunk. */
  private isStarved (weights: HeldWeights): boolean {
    const { held } = this.latestWeights(weights)
    return this.peerFetches === 0 && !this.peers.views.some(peer => hasBitsOutside(peer.held, held))
  }

  private async pollPeer (weights: HeldWeights, member: ExchangeMember): Promise<void> {
    this.polling.add(member.instance)
    try {
      const url = `http://${member.address}/weights/${weights.digest}/held`
      const answer = await requestJson({ url, method: 'GET', headers: this.requestHeaders(weights), deadline: Date.now() + answerTimeoutMilliseconds, signal: this.stopping.signal }) as HeldAnswer
      const total = weights.manifest.chunks.length
      this.peers.recordHeld(member.instance, answer.held === undefined ? undefined : parseBitmap(answer.held, total))
      const seen = answer.seen === undefined ? undefined : parseBitmap(answer.seen, total)
      if (seen !== undefined) this.context.holdings.mergeSeen(weights.digest, seen)
      if (!this.stopping.signal.aborted) this.startFetches(weights)
    } catch {
      this.peers.recordFault(member.instance, false)
    } finally {
      this.polling.delete(member.instance)
    }
  }
}
