/** Coordinates the swap of weights of an instance with its pool: it announces the swap, polls its peers, then starts or waits. */
import { maximumUnavailable, nextSwapStep, predecessorOf, type PaceView, type SwapPeer, type SwapState, type SwapStep } from '../../../core/weights/swap-pacing.js'
import { requestJson } from '../../../transports/http-client.js'
import { runInBackground } from '../../../utils/background.js'
import { logFor } from '../../../utils/log.js'
import type { ExchangeMember, ExchangeOptions, HeldAnswer } from './options.js'

const log = logFor('exchange')
/** Time between two polls of the pool. */
const pollMilliseconds = 500
/** Timeout of one poll. */
const answerTimeoutMilliseconds = 1000
/** Assumed duration of a swap before any in the pool has finished. */
const defaultSwapMilliseconds = 3000
/** Typical swap durations after which a waiting instance is overdue and announces out of order. */
const overdueFactor = 10
/** Typical swap durations after which an instance that is still unavailable no longer reports `away`. */
const unavailableFactor = 20
/** How long the last report of an unresponsive peer is used, milliseconds. */
const reportExpiryMilliseconds = 5000

interface PeerReport extends Omit<SwapPeer, 'wants'> {
  /** Epoch milliseconds at which the poll was sent. */
  readonly askedAt: number
}

/** Weights to swap to. */
export interface SwapTarget {
  readonly manifest: string
  /** Epoch milliseconds by which the rollout should end. */
  readonly finishBy: number
}

/** Swap state of one instance. */
export class SwapPacer {
  private current: SwapState = 'idle'
  private target: SwapTarget = { manifest: '', finishBy: 0 }
  private announcedAt = 0
  private unavailableUntil = 0
  private unavailableSince = 0
  private overdueAt = 0
  /** Duration of the last swap, milliseconds; 0 before the first. */
  lastSwapMilliseconds = 0
  private isPolling = false
  private nextPollAt = 0
  private isApproved = false
  private readonly reports = new Map<string, PeerReport>()

  constructor (private readonly options: ExchangeOptions) {}

  /** State that is reported to peers; a swap that takes far too long no longer counts as `away`. */
  get state (): SwapState {
    return this.current === 'away' && Date.now() > this.unavailableUntil ? 'idle' : this.current
  }

  /** Whether the engine may be ordered to swap now; polls the pool in the background until it may. */
  maySwap (target: SwapTarget): boolean {
    if (target.manifest !== this.target.manifest) this.setTarget(target)
    if (this.current === 'away') this.finishIfServing()
    if (this.options.served() === '') return true
    if (this.isApproved) {
      this.begin()
      return true
    }
    if (!this.isPolling && Date.now() >= this.nextPollAt) runInBackground(this.advance(), log, 'coordinate the swap of weights')
    return false
  }

  /** Ends the state `away` once the engine serves weights again. */
  finishIfServing (): void {
    if (this.current !== 'away' || this.options.served() === '') return
    this.current = 'idle'
    this.lastSwapMilliseconds = Date.now() - this.unavailableSince
  }

  /** Typical duration of a swap, milliseconds: the mean over the last swaps of the pool. */
  private get changeMilliseconds (): number {
    const local = this.lastSwapMilliseconds
    const durations = [local, ...[...this.reports.values()].map(peer => peer.changeMilliseconds)].filter(milliseconds => milliseconds > 0)
    if (durations.length === 0) return defaultSwapMilliseconds
    return durations.reduce((sum, milliseconds) => sum + milliseconds, 0) / durations.length
  }

  /** Instances that are also to serve the target. */
  private get targetedInstances (): ReadonlySet<string> {
    return new Set(this.options.members(this.target.manifest).map(member => member.instance))
  }

  private setTarget (target: SwapTarget): void {
    this.target = target
    this.isApproved = false
    this.current = this.current === 'away' ? 'away' : 'idle'
    this.overdueAt = Date.now() + this.changeMilliseconds * overdueFactor
  }

  private begin (): void {
    this.isApproved = false
    this.current = 'away'
    this.unavailableSince = Date.now()
    this.unavailableUntil = this.unavailableSince + this.changeMilliseconds * unavailableFactor
  }

  /** Polls peers, then takes the next step: an idle instance polls its predecessor, one that has announced or lacks a report polls all peers. */
  private async advance (): Promise<void> {
    this.isPolling = true
    const { manifest } = this.target
    try {
      const peers = this.options.pool().filter(member => member.instance !== this.options.instance)
      await Promise.all(this.peersToPoll(peers).map(async member => { await this.poll(member, manifest) }))
      if (manifest === this.target.manifest && this.current !== 'away') this.applyStep(this.nextStep(peers))
    } finally {
      this.isPolling = false
    }
  }

  private peersToPoll (peers: readonly ExchangeMember[]): readonly ExchangeMember[] {
    const unknown = peers.filter(({ instance }) => !this.reports.has(instance))
    if (this.current === 'intending' || unknown.length > 0) return peers
    const { instance } = this.options
    const targeted = this.targetedInstances
    const candidates = peers.map(peer => peer.instance).filter(name => targeted.has(name))
    const predecessor = predecessorOf(this.target.manifest, instance, candidates, this.maximumUnavailable(this.reportsOf(peers)))
    return peers.filter(peer => peer.instance === predecessor)
  }

  /** Polls one peer; an expired report is dropped if it does not answer. */
  private async poll (member: ExchangeMember, manifest: string): Promise<void> {
    const askedAt = Date.now()
    try {
      const url = `http://${member.address}/weights/${manifest}/held?version=0`
      const { served, swap, inFlight, limit, changeMilliseconds } = await requestJson({ url, method: 'GET', deadline: askedAt + answerTimeoutMilliseconds }) as HeldAnswer
      this.reports.set(member.instance, { instance: member.instance, served, swap, inFlight, limit, changeMilliseconds, askedAt })
    } catch {
      const lastReport = this.reports.get(member.instance)
      if (lastReport !== undefined && lastReport.askedAt < askedAt - reportExpiryMilliseconds) this.reports.delete(member.instance)
    }
  }

  private reportsOf (peers: readonly ExchangeMember[]): readonly PeerReport[] {
    return peers.flatMap(({ instance }) => this.reports.get(instance) ?? [])
  }

  private nextStep (peers: readonly ExchangeMember[]): SwapStep {
    const known = this.reportsOf(peers)
    const isFresh = known.every(peer => peer.askedAt >= this.announcedAt)
    if (this.current === 'intending' && !isFresh) return 'wait'
    const now = Date.now()
    const targeted = this.targetedInstances
    return nextSwapStep({
      instance: this.options.instance,
      served: this.options.served(),
      swap: this.current,
      wanted: this.target.manifest,
      peers: known.map(peer => ({ ...peer, wants: targeted.has(peer.instance) })),
      allowed: this.maximumUnavailable(known),
      isOverdue: now > this.overdueAt
    })
  }

  private applyStep (step: SwapStep): void {
    const now = Date.now()
    this.nextPollAt = now + pollMilliseconds
    if (step === 'start') this.isApproved = true
    if (step === 'withdraw') this.current = 'idle'
    if (step !== 'intend') return
    this.current = 'intending'
    this.announcedAt = now
    this.nextPollAt = now
  }

  private maximumUnavailable (known: readonly PeerReport[]): number {
    const targeted = this.targetedInstances
    const { inFlight, limit } = this.options.load()
    const local = { served: this.options.served(), inFlight, limit }
    const pool = [local, ...known]
    const serving = pool.filter(({ served }) => served !== '')
    const view: PaceView = {
      now: Date.now(),
      finishBy: this.target.finishBy,
      weighting: this.options.weighting(),
      size: pool.length,
      remaining: 1 + known.filter(({ instance, served }) => targeted.has(instance) && served !== this.target.manifest).length,
      away: known.filter(({ swap, served }) => swap === 'away' && served === '').length,
      inFlight: pool.reduce((sum, member) => sum + member.inFlight, 0),
      limit: serving.reduce((sum, member) => sum + member.limit, 0),
      largestLimit: Math.max(0, ...serving.map(member => member.limit)),
      changeMilliseconds: this.changeMilliseconds
    }
    return (this.options.maximumUnavailable ?? maximumUnavailable)(view)
  }
}
