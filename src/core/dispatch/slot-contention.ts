/**
 * Which requests of a ranked service get the free slots of an engine. Load pattern: many entries ask few agents, so that the
 * first to ask after a slot became free would get it whatever its rank. While there is contention, a request that finds no
 * slot is held for a moment, and slots that become free go to the first in the order of service; a free slot is also kept from a less urgent
 * request for a moment if more urgent ones were denied lately, which will ask again.
 */
import { admittedShare } from './admission.js'
import { compareOrder, orderByPlace, ServiceOrder, type OrderedRequest } from './service-order.js'

/** A request for a slot; times in milliseconds of the monotonic clock. */
export interface ContendingAsk {
  readonly key: string
  readonly request: OrderedRequest
  /** Requests that may be at the engine, with this one. */
  readonly limit: number
  readonly at: number
}

/** A request that was granted a slot, or denied one and will ask again. */
interface DecidedAsk extends ContendingAsk {
  readonly isDenied: boolean
}

/** Time for which a request is held, milliseconds: with a round trip between regions it is answered before its entry takes the agent for silent. */
const holdMilliseconds = 20
/** Requests that are held: more than an engine's slots, few enough to order them at each count. */
const maximumHeld = 48
/** Age up to which requests count as competing, milliseconds: a denied request has asked some agents again by then. */
const competingMilliseconds = 100
/** Competing requests that are kept, the most recent ones: enough to tell which part of them is more urgent. */
const maximumCompeting = 32
/** Time after the last moment without a slot for which there is contention, milliseconds: two counts of an engine's requests. */
const contentionMilliseconds = 200

/** Requests that compete for the slots of one engine; times in milliseconds of the monotonic clock. */
export class SlotContention {
  readonly order = new ServiceOrder()
  private held: readonly ContendingAsk[] = []
  private competing: readonly DecidedAsk[] = []
  /** When a request last found no slot. */
  private fullAt = -Infinity
  private grantedAt = -Infinity

  /** Whether requests are held. */
  get hasHeld (): boolean {
    return this.held.length > 0
  }

  /** Adds a request; `settle` decides on it. Returns one that is denied as too many are held, which is then the last in order. */
  add (ask: ContendingAsk): ContendingAsk | undefined {
    this.order.recordAsked(ask.request, ask.at)
    this.held = [...this.held, ask]
    if (this.held.length <= maximumHeld) return undefined
    const last = this.inOrder(ask.at).at(-1)
    this.held = this.held.filter(other => other !== last)
    return last
  }

  /** Decides on the held requests, in order: `load` requests are at the engine. The others remain held for a moment, then they are denied. */
  settle (load: number, now: number): { readonly granted: readonly ContendingAsk[], readonly denied: readonly ContendingAsk[] } {
    const granted: ContendingAsk[] = []
    const denied: ContendingAsk[] = []
    // Requests are put in order only where one of them may get a slot: agents settle several times between two counts.
    const hasRoom = this.held.some(({ limit }) => load + 1 <= limit)
    for (const ask of hasRoom ? this.inOrder(now) : this.held) {
      if (this.mayGrant(ask, load + granted.length, now)) {
        granted.push(ask)
        this.order.recordGranted(ask.request, now)
        this.grantedAt = now
      } else if (now >= ask.at + holdMilliseconds) denied.push(ask)
    }
    const decided = new Set([...granted, ...denied])
    this.held = this.held.filter(ask => !decided.has(ask))
    if (decided.size > 0) this.competing = [...this.competing.filter(({ at }) => at > now - competingMilliseconds), ...granted.map(ask => ({ ...ask, isDenied: false })), ...denied.map(ask => ({ ...ask, isDenied: true }))].slice(-maximumCompeting)
    return { granted, denied }
  }

  private mayGrant (ask: ContendingAsk, load: number, now: number): boolean {
    if (load + 1 > this.limitFor(ask, now)) {
      this.fullAt = now
      return false
    }
    if (!this.isContended(now)) return true
    const share = admittedShare(ask.limit, load, now - Math.max(this.fullAt, this.grantedAt))
    return share >= 1 || this.shareAhead(ask, now) <= share
  }

  private isContended (now: number): boolean {
    return now - this.fullAt <= contentionMilliseconds
  }

  /** Limit of a request: during contention none may use places that a more urgent one with a shorter goal may not. */
  private limitFor ({ request, limit }: ContendingAsk, now: number): number {
    if (!this.isContended(now)) return limit
    return this.competing.reduce((lowest, other) => other.request.rank < request.rank && other.at > now - competingMilliseconds ? Math.min(lowest, other.limit) : lowest, limit)
  }

  /** Part of the competing requests that were denied and are ahead of one. */
  private shareAhead ({ request }: ContendingAsk, now: number): number {
    const recent = this.competing.filter(({ at }) => at > now - competingMilliseconds)
    const place = this.order.placeOf(request, now)
    const ahead = recent.filter(other => other.isDenied && compareOrder(this.order.placeOf(other.request, now), place) < 0)
    return ahead.length / Math.max(1, recent.length)
  }

  private inOrder (now: number): readonly ContendingAsk[] {
    if (this.held.length <= 1) return this.held
    return orderByPlace(this.held, ({ request }) => request, this.order, now)
  }
}
