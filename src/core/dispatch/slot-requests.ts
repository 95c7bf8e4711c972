/** Requests of one entry for slots of engines, and the slots that were granted to it. */
import type { OrderedRequest } from './service-order.js'
import type { SlotAnswer } from './slot-ledger.js'

/** The search of one caller's request for a slot. */
export class SlotSearch {
  /** When it may ask again, milliseconds of the monotonic clock; undefined before the first time. */
  nextAskAt: number | undefined

  /** `order` is undefined for a request of a service that is not ranked. */
  constructor (readonly order?: OrderedRequest) {}
}

/** A slot that an engine's agent granted and that no request has used yet. */
export interface HeldSlot {
  readonly upstreamId: string
  /** Number of the request for it. */
  readonly number: number
  /** Requests at the engine with the one that the slot is for. */
  readonly load: number
  /** When it is no longer used, milliseconds of the monotonic clock. */
  readonly until: number
  /** Whether it was asked for in a ranked service. */
  readonly isRanked: boolean
}

interface PendingRequest {
  readonly upstreamId: string
  readonly search: SlotSearch
  /** When it counts as unanswered, milliseconds of the monotonic clock. */
  readonly until: number
}

/** Time after which a request for a slot counts as unanswered, milliseconds: some round trips between regions, and a busy agent. */
const answerTimeoutMilliseconds = 40
/** Time between two rounds of one search, milliseconds. */
const askIntervalMilliseconds = 15
/** Time for which a granted slot may be used, milliseconds; within it, and within the time for an answer, the request still arrives while the agent counts the grant. */
const validityMilliseconds = 20
/** Time for which an agent that had no slot counts as full, milliseconds: about as long as an engine at full load takes to end a request. */
const fullMilliseconds = 100
/** Time for which an agent that did not answer is not asked, milliseconds. */
const silenceMilliseconds = 1000

/** Slots asked for and held; times in milliseconds of the monotonic clock. */
export class SlotRequests {
  private readonly pending = new Map<number, PendingRequest>()
  private held: readonly HeldSlot[] = []
  private readonly silentUntil = new Map<string, number>()
  private readonly fullUntil = new Map<string, number>()
  private lastNumber = 0

  /** Whether a search may ask now: for the first time, or once its last round is over. */
  mayAsk ({ nextAskAt }: SlotSearch, now: number): boolean {
    return nextAskAt === undefined || now >= nextAskAt
  }

  /** Records that a search asks for a slot of an engine; returns the number of the request. */
  ask (search: SlotSearch, upstreamId: string, now: number): number {
    this.lastNumber += 1
    this.pending.set(this.lastNumber, { upstreamId, search, until: now + answerTimeoutMilliseconds })
    search.nextAskAt = now + askIntervalMilliseconds
    return this.lastNumber
  }

  /** Applies an agent's answer; a grant whose age is not known, since it comes too late, is not held. Whether the search has no more answers to wait for, or may use a slot at once. */
  receive (number: number, answer: SlotAnswer, now: number): boolean {
    const request = this.pending.get(number)
    if (request === undefined) return false
    this.pending.delete(number)
    this.silentUntil.delete(request.upstreamId)
    if (!answer.isGranted) this.fullUntil.set(request.upstreamId, now + fullMilliseconds)
    else this.held = [...this.held, { upstreamId: request.upstreamId, number, load: answer.load, until: Math.min(request.until, now + validityMilliseconds), isRanked: request.search.order !== undefined }]
    // Agents of a ranked service hold requests, so that the other answers may come after the slot has lapsed.
    return (answer.isGranted && request.search.order !== undefined) || !this.awaitsAnswer(request.search)
  }

  /** Whether an agent that a search asked has not answered yet. */
  awaitsAnswer (search: SlotSearch): boolean {
    return [...this.pending.values()].some(pending => pending.search === search)
  }

  /** The engine of a request for a slot that has no answer yet. */
  upstreamOf (number: number): string | undefined {
    return this.pending.get(number)?.upstreamId
  }

  /** A slot that is held at an engine for a request that goes there only within `limit`. */
  heldAt (upstreamId: string, limit: number, now: number): HeldSlot | undefined {
    return this.held.find(slot => slot.upstreamId === upstreamId && slot.load <= limit && now < slot.until)
  }

  /** Whether any slot is held. */
  get holdsAny (): boolean {
    return this.held.length > 0
  }

  /** Uses a slot. */
  take ({ number }: HeldSlot): void {
    this.held = this.held.filter(slot => slot.number !== number)
  }

  /** Gives up all slots that are held; returns them, for their agents to be told. */
  releaseAll (): readonly HeldSlot[] {
    return this.release(() => true)
  }

  /** The same for slots of ranked services. */
  releaseRanked (): readonly HeldSlot[] {
    return this.release(({ isRanked }) => isRanked)
  }

  /** Whether the agent of an engine did not answer lately; notes the requests that have become unanswered. */
  isSilent (upstreamId: string, now: number): boolean {
    for (const [number, request] of this.pending) {
      if (now < request.until) continue
      this.pending.delete(number)
      this.silentUntil.set(request.upstreamId, now + silenceMilliseconds)
    }
    return now < (this.silentUntil.get(upstreamId) ?? 0)
  }

  /** Whether the agent of an engine had no slot a moment ago. */
  isFull (upstreamId: string, now: number): boolean {
    return now < (this.fullUntil.get(upstreamId) ?? 0)
  }

  /** Deletes what is known of an engine that was removed. */
  forget (upstreamId: string): void {
    this.fullUntil.delete(upstreamId)
    this.silentUntil.delete(upstreamId)
    this.held = this.held.filter(slot => slot.upstreamId !== upstreamId)
  }

  private release (isReleased: (slot: HeldSlot) => boolean): readonly HeldSlot[] {
    const released = this.held.filter(isReleased)
    this.held = this.held.filter(slot => !released.includes(slot))
    return released
  }
}
