/** Slots of one engine, which the agent beside it grants to entries one request at a time. */
import { SlotContention } from './slot-contention.js'
import type { OrderedRequest, OrganisationUse } from './service-order.js'

/** An agent's answer to an entry that asks for a slot. */
export interface SlotAnswer {
  /** Requests that run, are queued or are granted at the engine; with a grant, the one that it is for included. */
  readonly load: number
  readonly isGranted: boolean
}

/** An answer to the request that `key` identifies. */
export interface KeyedAnswer extends SlotAnswer {
  readonly key: string
}

interface SlotGrant {
  readonly key: string
  /** Milliseconds of the monotonic clock. */
  readonly at: number
  /** Undefined for a request of a service that is not ranked. */
  readonly request: OrderedRequest | undefined
}

/** Longest time from a grant until its request is in the engine's own count, milliseconds. */
const arrivalMilliseconds = 40
/** Age from which the engine's count says nothing of its load, milliseconds: several polls. */
const maximumCountAgeMilliseconds = 500

/**
 * The engine's own count and the grants that it does not show yet; times in milliseconds of the monotonic clock. Load
 * pattern: many entries before few slots, where a fixed share of an entry is less than one slot, and where each entry
 * learns of the others' requests too late to leave room for them.
 */
export class SlotLedger {
  private counted = 0
  private countedAt = -Infinity
  private grants: readonly SlotGrant[] = []
  private readonly contention = new SlotContention()

  /** Records the requests that run or are queued at the engine, counted at `now`. */
  recordCount (requests: number, now: number): void {
    this.counted = requests
    this.countedAt = now
    this.grants = this.grants.filter(({ at }) => at > now - arrivalMilliseconds)
  }

  /**
   * Answers an entry that asks for a slot of an engine that may have `limit` requests; undefined while the engine's load is not known. `key` identifies the grant.
   */
  answer (key: string, limit: number, now: number): SlotAnswer | undefined {
    if (!this.isKnown(now)) return undefined
    const isGranted = this.load + 1 <= limit
    if (isGranted) this.grants = [...this.grants, { key, at: now, request: undefined }]
    return { load: this.load, isGranted }
  }

  /** Answers a request of a ranked service, which competes with others: at once, or in a later call of `settle`. */
  compete (key: string, limit: number, now: number, request: OrderedRequest): readonly KeyedAnswer[] {
    if (!this.isKnown(now)) return []
    const crowdedOut = this.contention.add({ key, request, limit, at: now })
    return [...crowdedOut === undefined ? [] : [{ key: crowdedOut.key, load: this.load, isGranted: false }], ...this.settle(now)]
  }

  /** Answers requests that were held, where that is due. */
  settle (now: number): readonly KeyedAnswer[] {
    if (!this.contention.hasHeld || !this.isKnown(now)) return []
    const { granted, denied } = this.contention.settle(this.load, now)
    const answers = granted.map(({ key, request }) => {
      this.grants = [...this.grants, { key, at: now, request }]
      return { key, load: this.load, isGranted: true }
    })
    return [...answers, ...denied.map(({ key }) => ({ key, load: this.load, isGranted: false }))]
  }

  /** Whether requests are held. */
  get hasHeld (): boolean {
    return this.contention.hasHeld
  }

  /** Takes back a grant that no request has used. */
  release (key: string, now: number): void {
    const released = this.grants.find(grant => grant.key === key)
    if (released?.request !== undefined) this.contention.order.recordGranted(released.request, now, -1)
    this.grants = this.grants.filter(grant => grant !== released)
  }

  /** Use of each organisation lately. */
  uses (now: number): readonly OrganisationUse[] {
    return this.contention.order.uses(now)
  }

  private isKnown (now: number): boolean {
    return now - this.countedAt <= maximumCountAgeMilliseconds
  }

  private get load (): number {
    return this.counted + this.grants.length
  }
}
