/** How long callers of a service wait now, as one entry sees it, and which share of requests is refused for it. */

/** Time over which waits count, milliseconds: a few passes of an engine. */
const windowMilliseconds = 700
/** Waits that count at most: the latest. */
const maximumWaits = 12
/** Waits without which nothing is concluded. */
const minimumWaits = 3
/** Wait, in goals of the route, from which requests are refused, and the wait at which the most are. */
const refusalGoals = { from: 0.8, until: 1.6 } as const
/** Largest share that is refused: some must go on, since only they tell when the wait has passed. */
const maximumRefusedShare = 0.75
/** Goals by which a late request's wait must be shorter. */
const lateExtraGoals = 0.15

interface Wait { readonly at: number, readonly milliseconds: number }

/** Waits of one service. */
export class FirstEventWaits {
  private waits: readonly Wait[] = []
  /** Steady milliseconds at which requests were sent that still wait, by a number. */
  private readonly pending = new Map<number, number>()
  private lastNumber = 0

  /** Notes a request that is sent at `now`, steady milliseconds; returns its number. */
  recordSent (now: number): number {
    this.lastNumber += 1
    this.pending.set(this.lastNumber, now)
    return this.lastNumber
  }

  /** Notes that the answer of a request has begun, or that it ended without (`isStarted` false). */
  recordStarted (number: number, now: number, isStarted: boolean): void {
    const sentAt = this.pending.get(number)
    if (sentAt === undefined) return
    this.pending.delete(number)
    if (isStarted) this.waits = [...this.waits, { at: now, milliseconds: now - sentAt }].slice(-maximumWaits)
  }

  /** Median wait lately, milliseconds, 0 for too few; a request that waits longer than the others already counts with its age. */
  medianMilliseconds (now: number): number {
    const recent = this.waits.filter(({ at }) => now - at <= windowMilliseconds).map(({ milliseconds }) => milliseconds)
    const median = medianOf(recent)
    const ages = [...this.pending.values()].map(sentAt => now - sentAt).filter(age => age > median)
    const known = [...recent, ...ages]
    return known.length < minimumWaits ? 0 : medianOf(known)
  }
}

/**
 * Share of requests that is refused at once. Load pattern: arrivals above what the engines read, as in a burst or while
 * engines change their weights. Without refusals every caller waits past its goal; with them most are served within.
 */
export function refusedShare (waitMilliseconds: number, goalMilliseconds: number, isLate: boolean): number {
  const goals = waitMilliseconds / Math.max(1, goalMilliseconds) + (isLate ? lateExtraGoals : 0)
  const share = (goals - refusalGoals.from) / (refusalGoals.until - refusalGoals.from)
  return Math.max(0, Math.min(maximumRefusedShare, share))
}

function medianOf (numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0
}
