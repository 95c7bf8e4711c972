/** Fetches a manifest together with the peers of the data centre: each chunk from outside once, then among peers. */
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
import { heldHeaderNames, heldHeaders, isWholeSet, type HeldWeights } from './holdings.js'
import { findManifest } from './manifest.js'
import type { ExchangeMember, HeldAnswer } from './options.js'
import { OutsideSources } from './outside.js'
import { PeerTable } from './peers.js'
import { OutsideTurns } from './turns.js'
import { drawChunk, type ChunkResult } from './transfer.js'

const log = logFor('exchange')
const tickMilliseconds = 25
const peerSlots = 4
const outsideSlots = 4
const drawsPerPeer = 2
const firstPollMilliseconds = 400
const pollMilliseconds = { least: 100, most: 1000 } as const
const answerMilliseconds = 1000
const stallMilliseconds = 1500
const longestDrawMilliseconds = 120_000
const hedgeFactor = 6
const learnFactor = 8
const rankFactor = 4
const pollFactor = 8
const leastRankMilliseconds = 1500
const lostHolderMilliseconds = 2000
const assumedLinkBytes = 50 << 20

/** The exchange of one manifest. */
export class SwarmFetcher extends ChunkFetcher {
  private readonly queue = new PQueue({ concurrency: peerSlots + outsideSlots })
  private readonly flights = new Map<number, { sources: string[], hedgeAt: number }>()
  private readonly turns = new OutsideTurns()
  private readonly drawerAskedAt = new Map<string, number>()
  private readonly sources = new OutsideSources(this.context.options)
  private readonly startedAt = Date.now()
  private peers = new PeerTable('', '', 0)
  private polling = new Set<string>()
  private peerDraws = 0
  /** Usual time of one draw from a peer and from outside, milliseconds; learned. */
  private peerMilliseconds = 0
  private outsideMilliseconds = 0

  start (): void {
    runInBackground(this.run(), log, 'fetch weights')
  }

  override stop (): void {
    super.stop()
    this.queue.clear()
  }

  override noteAsked (instance: string, headers: IncomingHttpHeaders): void {
    this.peers.add(this.localMembers().find(member => member.instance === instance))
    this.noteHeaders(instance, headers)
  }

  private async run (): Promise<void> {
    const { signal } = this.stopping
    const { options, holdings } = this.context
    const weights = await findManifest(options, holdings, this.wanted.manifest, signal)
    if (weights === undefined) return
    this.peers = new PeerTable(weights.digest, options.instance, weights.manifest.chunks.length)
    this.peerMilliseconds = weights.manifest.chunkBytes * peerSlots / (options.linkBytes || assumedLinkBytes) * 1000
    this.outsideMilliseconds = weights.manifest.chunkBytes * originWindowChunks / (options.linkBytes || assumedLinkBytes) * 1000
    this.context.onChange()
    while (!signal.aborted && !isWholeSet(this.weights(weights))) {
      this.refreshMembers(weights)
      this.poll(weights)
      this.askLateDrawers(weights)
      this.fill(weights)
      await waitUntil(Date.now() + tickMilliseconds, signal)
    }
  }

  private weights (first: HeldWeights): HeldWeights {
    return this.context.holdings.get(first.digest) ?? first
  }

  private localMembers (): readonly ExchangeMember[] {
    const { members, dataCentre } = this.context.options
    return members(this.wanted.manifest).filter(member => member.dataCentre === dataCentre)
  }

  private refreshMembers (weights: HeldWeights): void {
    const { options } = this.context
    const everyone = options.members(this.wanted.manifest)
    const members = this.localMembers()
    const { silent } = this.peers
    const key = silent.join(' ') + everyone.map(member => `${member.instance}@${member.address}`).join(' ')
    if (!this.turns.isNew(key)) return
    this.peers.setMembers(members)
    this.sources.setRemote(`${weights.digest}/${options.instance}`, everyone.filter(member => member.dataCentre !== options.dataCentre))
    this.turns.setMembers(weights.manifest.chunks, options.instance, members.map(member => member.instance).filter(instance => !silent.includes(instance)))
  }

  /** Starts every draw that can start now. */
  private fill (first: HeldWeights): void {
    this.turns.note(this.weights(first), this.peers.views, Math.max(lostHolderMilliseconds, rankFactor * this.outsideMilliseconds))
    while (!this.stopping.signal.aborted) {
      const draw = nextFetch(this.view(this.weights(first)))
      if (draw === undefined) return
      this.launch(first, draw)
    }
  }

  private view (weights: HeldWeights): PlanView {
    const total = weights.manifest.chunks.length
    const now = Date.now()
    const ready = this.peers.allHeard || now > this.startedAt + firstPollMilliseconds
    return {
      now,
      total,
      held: weights.held,
      seen: weights.seen,
      assignments: this.turns.duties,
      waitingSince: this.turns.waitingSince,
      fetches: this.flights as ReadonlyMap<number, FetchInProgress>,
      peers: this.peers.views,
      freePeerSlots: peerSlots - this.peerDraws,
      sources: ready ? this.sources.views : [],
      rankMilliseconds: this.rankMilliseconds,
      fetchesPerPeer: drawsPerPeer,
      startPosition: parseInt(digestBytes(this.context.options.instance).slice(0, 6), 16) % total
    }
  }

  private launch (weights: HeldWeights, draw: PlannedFetch): void {
    const usual = draw.kind === 'outside' ? this.outsideMilliseconds : this.peerMilliseconds
    const hedgeAt = Date.now() + Math.max(stallMilliseconds, hedgeFactor * usual)
    const flight = this.flights.get(draw.position) ?? { sources: [], hedgeAt }
    flight.sources.push(draw.source)
    flight.hedgeAt = hedgeAt
    this.flights.set(draw.position, flight)
    this.noteStart(draw)
    const work = this.queue.add(async () => {
      const started = Date.now()
      const result = await this.draw(weights, draw)
      this.noteEnd(draw)
      this.take(weights, draw, result, Date.now() - started)
    })
    runInBackground(work, log, 'draw a chunk')
  }

  private noteStart (draw: PlannedFetch): void {
    if (draw.kind === 'outside') this.sources.noteStart(draw.source)
    else {
      this.peerDraws += 1
      this.peers.noteStart(draw.source)
    }
  }

  private noteEnd (draw: PlannedFetch): void {
    const flight = this.flights.get(draw.position)
    const rest = flight?.sources.filter(source => source !== draw.source) ?? []
    if (flight !== undefined && rest.length > 0) flight.sources = rest
    else this.flights.delete(draw.position)
    if (draw.kind === 'outside') this.sources.noteEnd(draw.source)
    else {
      this.peerDraws -= 1
      this.peers.noteEnd(draw.source)
    }
  }

  private async draw (weights: HeldWeights, draw: PlannedFetch): Promise<ChunkResult> {
    const digest = weights.manifest.chunks[draw.position]
    const url = draw.kind === 'outside' ? this.sources.url(draw.source) : this.peerUrl(draw.source)
    if (digest === undefined || url === undefined) return { type: 'failed', reason: 'the source is gone' }
    return await drawChunk({
      url: `${url}/chunks/${digest}`,
      digest,
      largestBytes: weights.manifest.chunkBytes,
      headers: draw.kind === 'peer' ? this.ownHeaders(weights) : {},
      stallMilliseconds,
      deadline: Date.now() + longestDrawMilliseconds,
      limiter: this.context.incoming,
      signal: this.stopping.signal
    })
  }

  private take (weights: HeldWeights, draw: PlannedFetch, result: ChunkResult, milliseconds: number): void {
    if (this.stopping.signal.aborted) return
    if ('headers' in result && draw.kind === 'peer') this.noteHeaders(draw.source, result.headers)
    if (result.type === 'chunk') {
      this.noteGood(draw, milliseconds)
      this.context.holdings.addChunk(weights.manifest.chunks[draw.position] ?? '', result.bytes)
      this.context.onChange()
    } else {
      if (result.type !== 'busy') log.warn('a chunk was not drawn', { source: draw.source, result: result.type })
      this.noteBad(draw, result)
    }
    this.fill(weights)
  }

  private noteGood (draw: PlannedFetch, milliseconds: number): void {
    if (draw.kind === 'outside') {
      this.outsideMilliseconds += (milliseconds - this.outsideMilliseconds) / learnFactor
      this.sources.noteGood(draw.source)
    } else {
      this.peerMilliseconds += (milliseconds - this.peerMilliseconds) / learnFactor
      this.peers.noteGood(draw.source)
    }
  }

  private noteBad (draw: PlannedFetch, result: ChunkResult): void {
    if (draw.kind === 'outside') {
      if (result.type === 'busy') this.sources.noteBusy(draw.source, result.backAt)
      else this.sources.noteFault(draw.source)
      return
    }
    if (result.type === 'busy') this.peers.noteBusy(draw.source, result.backAt)
    else this.peers.noteFault(draw.source, result.type !== 'failed')
  }

  private noteHeaders (instance: string, headers: IncomingHttpHeaders): void {
    const seen = this.peers.noteHeaders(instance, headers)
    if (seen !== undefined) this.context.holdings.noteSeen(this.wanted.manifest, seen)
  }

  private ownHeaders (weights: HeldWeights): Readonly<Record<string, string>> {
    const { instance, dataCentre } = this.context.options
    return {
      ...heldHeaders(this.weights(weights)),
      [heldHeaderNames.instance]: instance,
      [heldHeaderNames.dataCentre]: dataCentre,
      [heldHeaderNames.finishBy]: String(this.wanted.finishBy)
    }
  }

  private peerUrl (instance: string): string | undefined {
    const address = this.peers.address(instance)
    return address === undefined ? undefined : `http://${address}`
  }

  private poll (weights: HeldWeights): void {
    const chunkMilliseconds = weights.manifest.chunkBytes / (this.context.options.linkBytes || assumedLinkBytes) * 1000
    const usual = Math.min(pollMilliseconds.most, Math.max(pollMilliseconds.least, pollFactor * chunkMilliseconds))
    const interval = this.isStarved(weights) ? pollMilliseconds.least : usual
    for (const member of this.peers.unheardSince(Date.now() - interval)) {
      if (!this.polling.has(member.instance)) runInBackground(this.ask(weights, member), log, 'ask a peer')
    }
  }

  private get rankMilliseconds (): number {
    return Math.max(leastRankMilliseconds, rankFactor * this.outsideMilliseconds)
  }

  /** Asks those whose draw is late, before this instance draws in their place. */
  private askLateDrawers (weights: HeldWeights): void {
    const now = Date.now()
    const late = this.turns.lateDrawers(now - this.rankMilliseconds / 2)
    for (const member of this.localMembers()) {
      const isAsked = this.polling.has(member.instance) || (this.drawerAskedAt.get(member.instance) ?? 0) > now - this.rankMilliseconds / 4
      if (isAsked || !late.has(member.instance)) continue
      this.drawerAskedAt.set(member.instance, now)
      runInBackground(this.ask(weights, member), log, 'ask a drawer')
    }
  }

  /** Whether no peer is known to hold anything that is missing here. */
  private isStarved (weights: HeldWeights): boolean {
    const { held } = this.weights(weights)
    return this.peerDraws === 0 && !this.peers.views.some(peer => hasBitsOutside(peer.held, held))
  }

  private async ask (weights: HeldWeights, member: ExchangeMember): Promise<void> {
    this.polling.add(member.instance)
    try {
      const url = `http://${member.address}/weights/${weights.digest}/held`
      const answer = await requestJson({ url, method: 'GET', headers: this.ownHeaders(weights), deadline: Date.now() + answerMilliseconds, signal: this.stopping.signal }) as HeldAnswer
      const total = weights.manifest.chunks.length
      this.peers.noteHeld(member.instance, answer.held === undefined ? undefined : parseBitmap(answer.held, total))
      const seen = answer.seen === undefined ? undefined : parseBitmap(answer.seen, total)
      if (seen !== undefined) this.context.holdings.noteSeen(weights.digest, seen)
      if (!this.stopping.signal.aborted) this.fill(weights)
    } catch {
      this.peers.noteFault(member.instance, false)
    } finally {
      this.polling.delete(member.instance)
    }
  }
}
