/** Paces an instance's change of weights among its pool: announces, asks the others, then goes or waits. */
import { maximumUnavailable, nextSwapStep, predecessorOf, type PaceView, type SwapPeer, type SwapState, type SwapStep } from '../../../core/weights/swap-pacing.js'
import { requestJson } from '../../../transports/http-client.js'
import { runInBackground } from '../../../utils/background.js'
import { logFor } from '../../../utils/log.js'
import type { ExchangeMember, ExchangeOptions, HeldAnswer } from './options.js'

const log = logFor('exchange')
const askMilliseconds = 500
const answerMilliseconds = 1000
const firstChangeMilliseconds = 3000
/** Usual changes after which an instance that waits for its turn announces in any case. */
const patienceFactor = 10
/** Usual changes after which an instance that is still away no longer counts. */
const awayFactor = 20
/** How long a peer that answers nothing counts as it was last heard. */
const silentMilliseconds = 5000

interface Heard extends Omit<SwapPeer, 'wants'> {
  /** Epoch milliseconds at which the peer was asked. */
  readonly askedAt: number
}

/** What is being changed. */
export interface SwapTarget {
  readonly manifest: string
  readonly finishBy: number
}

/** The pace of one instance. */
export class SwapPace {
  private current: SwapState = 'idle'
  private target: SwapTarget = { manifest: '', finishBy: 0 }
  private announcedAt = 0
  private awayUntil = 0
  private awaySince = 0
  private overdueAt = 0
  /** How long the last change took, milliseconds; 0 before the first. */
  lastChangeMilliseconds = 0
  private isAsking = false
  private nextAskAt = 0
  private mayGo = false
  private readonly heard = new Map<string, Heard>()

  constructor (private readonly options: ExchangeOptions) {}

  /** State that peers are told. */
  get state (): SwapState {
    return this.current === 'away' && Date.now() > this.awayUntil ? 'idle' : this.current
  }

  /** Whether the engine may be ordered to change now; asks the pool in the background until it may. */
  maySwap (target: SwapTarget): boolean {
    if (target.manifest !== this.target.manifest) this.retarget(target)
    if (this.current === 'away') this.noteServed()
    if (this.options.served() === '') return true
    if (this.mayGo) {
      this.go()
      return true
    }
    if (!this.isAsking && Date.now() >= this.nextAskAt) runInBackground(this.advance(), log, 'pace the change of weights')
    return false
  }

  /** Ends the state `away` once the engine serves again. */
  noteServed (): void {
    if (this.current !== 'away' || this.options.served() === '') return
    this.current = 'idle'
    this.lastChangeMilliseconds = Date.now() - this.awaySince
  }

  /** Usual time of a change: the mean over the pool. */
  private get changeMilliseconds (): number {
    const own = this.lastChangeMilliseconds
    const taken = [own, ...[...this.heard.values()].map(peer => peer.changeMilliseconds)].filter(milliseconds => milliseconds > 0)
    if (taken.length === 0) return firstChangeMilliseconds
    return taken.reduce((sum, milliseconds) => sum + milliseconds, 0) / taken.length
  }

  /** Instances that are to serve the target as well. */
  private get wanting (): ReadonlySet<string> {
    return new Set(this.options.members(this.target.manifest).map(member => member.instance))
  }

  private retarget (target: SwapTarget): void {
    this.target = target
    this.mayGo = false
    this.current = this.current === 'away' ? 'away' : 'idle'
    this.overdueAt = Date.now() + this.changeMilliseconds * patienceFactor
  }

  private go (): void {
    this.mayGo = false
    this.current = 'away'
    this.awaySince = Date.now()
    this.awayUntil = this.awaySince + this.changeMilliseconds * awayFactor
  }

  /** One step: idle asks the instance before it, intending asks everyone. */
  private async advance (): Promise<void> {
    this.isAsking = true
    const { manifest } = this.target
    try {
      const peers = this.options.pool().filter(member => member.instance !== this.options.instance)
      await Promise.all(this.toAsk(peers).map(async member => { await this.ask(member, manifest) }))
      if (manifest === this.target.manifest && this.current !== 'away') this.take(this.step(peers))
    } finally {
      this.isAsking = false
    }
  }

  private toAsk (peers: readonly ExchangeMember[]): readonly ExchangeMember[] {
    const unheard = peers.filter(({ instance }) => !this.heard.has(instance))
    if (this.current === 'intending' || unheard.length > 0) return peers
    const { instance } = this.options
    const wanting = this.wanting
    const names = peers.map(peer => peer.instance).filter(name => wanting.has(name))
    const predecessor = predecessorOf(this.target.manifest, instance, names, this.allowed(this.known(peers)))
    return peers.filter(peer => peer.instance === predecessor)
  }

  private async ask (member: ExchangeMember, manifest: string): Promise<void> {
    const askedAt = Date.now()
    try {
      const url = `http://${member.address}/weights/${manifest}/held?version=0`
      const { served, swap, inFlight, limit, changeMilliseconds } = await requestJson({ url, method: 'GET', deadline: askedAt + answerMilliseconds }) as HeldAnswer
      this.heard.set(member.instance, { instance: member.instance, served, swap, inFlight, limit, changeMilliseconds, askedAt })
    } catch {
      const last = this.heard.get(member.instance)
      if (last !== undefined && last.askedAt < askedAt - silentMilliseconds) this.heard.delete(member.instance)
    }
  }

  private known (peers: readonly ExchangeMember[]): readonly Heard[] {
    return peers.flatMap(({ instance }) => this.heard.get(instance) ?? [])
  }

  private step (peers: readonly ExchangeMember[]): SwapStep {
    const known = this.known(peers)
    const isFresh = known.every(peer => peer.askedAt >= this.announcedAt)
    if (this.current === 'intending' && !isFresh) return 'wait'
    const now = Date.now()
    const wanting = this.wanting
    return nextSwapStep({
      instance: this.options.instance,
      served: this.options.served(),
      swap: this.current,
      wanted: this.target.manifest,
      peers: known.map(peer => ({ ...peer, wants: wanting.has(peer.instance) })),
      allowed: this.allowed(known),
      isOverdue: now > this.overdueAt
    })
  }

  private take (step: SwapStep): void {
    const now = Date.now()
    this.nextAskAt = now + askMilliseconds
    if (step === 'start') this.mayGo = true
    if (step === 'withdraw') this.current = 'idle'
    if (step !== 'intend') return
    this.current = 'intending'
    this.announcedAt = now
    this.nextAskAt = now
  }

  private allowed (known: readonly Heard[]): number {
    const wanting = this.wanting
    const { inFlight, limit } = this.options.load()
    const own = { served: this.options.served(), inFlight, limit }
    const pool = [own, ...known]
    const serving = pool.filter(({ served }) => served !== '')
    const view: PaceView = {
      now: Date.now(),
      finishBy: this.target.finishBy,
      weighting: this.options.weighting(),
      size: pool.length,
      remaining: 1 + known.filter(({ instance, served }) => wanting.has(instance) && served !== this.target.manifest).length,
      away: known.filter(({ swap, served }) => swap === 'away' && served === '').length,
      inFlight: pool.reduce((sum, member) => sum + member.inFlight, 0),
      limit: serving.reduce((sum, member) => sum + member.limit, 0),
      largestLimit: Math.max(0, ...serving.map(member => member.limit)),
      changeMilliseconds: this.changeMilliseconds
    }
    return (this.options.maximumUnavailable ?? maximumUnavailable)(view)
  }
}
