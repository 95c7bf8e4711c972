/** Slots of one engine, which the agent beside it grants to entries one request at a time. */

/** An agent's answer to an entry that asks for a slot. */
export interface SlotAnswer {
  /** Requests that run, are queued or are granted at the engine; with a grant, the one that it is for included. */
  readonly load: number
  readonly isGranted: boolean
}

interface SlotGrant {
  readonly key: string
  /** Milliseconds of the monotonic clock. */
  readonly at: number
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

  /** Records the requests that run or are queued at the engine, counted at `now`. */
  recordCount (requests: number, now: number): void {
    this.counted = requests
    this.countedAt = now
    this.grants = this.grants.filter(({ at }) => at > now - arrivalMilliseconds)
  }

  /** Answers an entry that asks for a slot of an engine that may have `limit` requests; undefined while the engine's load is not known. `key` identifies the grant. */
  answer (key: string, limit: number, now: number): SlotAnswer | undefined {
    if (now - this.countedAt > maximumCountAgeMilliseconds) return undefined
    const load = this.counted + this.grants.length
    if (load + 1 > limit) return { load, isGranted: false }
    this.grants = [...this.grants, { key, at: now }]
    return { load: load + 1, isGranted: true }
  }

  /** Takes back a grant that no request has used. */
  release (key: string): void {
    this.grants = this.grants.filter(grant => grant.key !== key)
  }
}
