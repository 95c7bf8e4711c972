/** Slots of engines as one entry gets them: their agents grant each one. */
import { concurrencyLimit, enginesToAsk, enginesToAskByTime, type AdmissionLimits, type Candidate } from '../../core/dispatch/placement.js'
import { encodeOrder } from '../../core/dispatch/rank.js'
import { SlotRequests, type HeldSlot, type SlotSearch } from '../../core/dispatch/slot-requests.js'
import type { PaceReport, SlotReply, SlotRelease, SlotRequest } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'
import { ipOf, type UpstreamView } from './upstream-view.js'

/** How agents are reached, and what an answer of theirs is for. */
export interface EngineSlotsContext {
  /** Sends a message to the agent at `ip`, without a guarantee of delivery. */
  send (message: SlotRequest | SlotRelease | PaceReport, ip: string): void
  /** Called when a search has all its answers: requests that wait may use the slots that are held. */
  answered (): void
}

/** A candidate with its upstream. */
export interface ViewedCandidate extends Candidate {
  readonly view: UpstreamView
  /** Requests that may be there while it starts or recovers; undefined for no such limit. */
  readonly startAllowance: number | undefined
  /** Slots that its agent may grant in one second while it is cold; undefined if it is not. */
  readonly coldLimit: number | undefined
}

/** Asks agents for slots, and holds those that were granted. */
export class EngineSlots {
  private readonly requests = new SlotRequests()

  constructor (private readonly context: EngineSlotsContext, private readonly random: () => number = Math.random) {}

  /** Whether the slots of an upstream are granted by its agent: it has reported, and answers. */
  isGranting ({ upstream, reportedVersion }: UpstreamView, now: number): boolean {
    return upstream.isEngine && reportedVersion !== undefined && !this.requests.isSilent(upstream.id, now)
  }

  /** The candidate with the load that its agent stated, if a slot is held there; otherwise without a free slot. */
  withHeldSlot (candidate: ViewedCandidate, admission: AdmissionLimits, now: number): ViewedCandidate {
    const held = this.heldAt(candidate.view, admission, now)
    return held === undefined ? { ...candidate, freeSlots: 0 } : { ...candidate, freeSlots: 1, load: held.load - 1 }
  }

  /** Those candidates at which a slot is held, with the load that its agent stated. */
  onlyHeld (candidates: readonly ViewedCandidate[], admission: AdmissionLimits, now: number): readonly ViewedCandidate[] {
    if (!this.requests.holdsAny) return []
    return candidates.flatMap(candidate => {
      const held = this.heldAt(candidate.view, admission, now)
      return held === undefined ? [] : [{ ...candidate, freeSlots: 1, load: held.load - 1 }]
    })
  }

  /** Whether a search may ask now. */
  mayAsk (search: SlotSearch, now: number): boolean {
    return this.requests.mayAsk(search, now)
  }

  /** Asks some of the candidates' agents for a slot: at random, or, if `costOf` is given, those with the least expected time of some random ones. */
  ask (search: SlotSearch, candidates: readonly ViewedCandidate[], admission: AdmissionLimits, now: number, costOf?: (candidate: ViewedCandidate) => number): void {
    const isFull = (id: string): boolean => this.requests.isFull(id, now)
    const asked = costOf === undefined ? enginesToAsk(candidates, isFull, this.random) : enginesToAskByTime(candidates, costOf, isFull, this.random)
    for (const { view: { upstream }, startAllowance = Infinity, coldLimit } of asked) {
      const number = this.requests.ask(search, upstream.id, now)
      const limit = Math.min(concurrencyLimit(upstream.slots, admission), startAllowance)
      const order = search.order === undefined ? {} : { order: encodeOrder(search.order, now) }
      this.context.send({ kind: 'slot-request', number, limit, ...order, ...coldLimit === undefined ? {} : { coldLimit } }, ipOf(upstream.address))
    }
  }

  /** Whether a search waits for an answer. */
  awaitsAnswer (search: SlotSearch): boolean {
    return this.requests.awaitsAnswer(search)
  }

  /** Uses the slot that is held at an upstream, if any. */
  take (view: UpstreamView, admission: AdmissionLimits, now: number): void {
    const held = this.heldAt(view, admission, now)
    if (held !== undefined) this.requests.take(held)
  }

  /** Gives back the slots that are held at some upstreams. */
  giveBack (views: readonly UpstreamView[], admission: AdmissionLimits, now: number): void {
    for (const view of views) {
      const held = this.heldAt(view, admission, now)
      if (held === undefined) continue
      this.requests.take(held)
      this.context.send({ kind: 'slot-release', number: held.number }, ipOf(view.upstream.address))
    }
  }

  /** Tells the agent of an engine the pace that the engine has stated; an agent that does not answer requests for slots is not told. */
  reportPace (view: UpstreamView, pace: number): void {
    const { upstream } = view
    if (this.isGranting(view, monotonicNow())) this.context.send({ kind: 'pace', startedAt: upstream.startedAt, pace }, ipOf(upstream.address))
  }

  /** The upstream whose agent replies; undefined if the reply comes too late. */
  upstreamOf ({ number }: SlotReply): string | undefined {
    return this.requests.upstreamOf(number)
  }

  /** Applies an agent's reply. */
  receive ({ number, load, isGranted }: SlotReply): void {
    if (this.requests.receive(number, { load, isGranted }, monotonicNow())) this.context.answered()
  }

  /** Gives back slots after all requests that wait have looked at them: those of ranked services, where others wait for them, and with `isIdle`, as no request waits, all. `addressOf` gives the address of an upstream, undefined if it is gone. */
  releaseUnused (isIdle: boolean, addressOf: (upstreamId: string) => string | undefined): void {
    this.sendReleases(isIdle ? this.requests.releaseAll() : this.requests.releaseRanked(), addressOf)
  }

  /** Gives back all slots that are held, as no request waits. */
  releaseAll (addressOf: (upstreamId: string) => string | undefined): void {
    this.releaseUnused(true, addressOf)
  }

  /** Deletes what is known of an upstream that was removed. */
  forget (id: string): void {
    this.requests.forget(id)
  }

  private sendReleases (slots: readonly HeldSlot[], addressOf: (upstreamId: string) => string | undefined): void {
    for (const { upstreamId, number } of slots) {
      const address = addressOf(upstreamId)
      if (address !== undefined) this.context.send({ kind: 'slot-release', number }, ipOf(address))
    }
  }

  private heldAt ({ upstream }: UpstreamView, admission: AdmissionLimits, now: number): HeldSlot | undefined {
    return this.requests.heldAt(upstream.id, concurrencyLimit(upstream.slots, admission), now)
  }
}
