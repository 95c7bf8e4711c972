/** Recent waits for the first event of an answer, and the share of requests refused because of them. */

/** Age up to which waits count, milliseconds: a few passes of an engine. */
const windowMilliseconds = 700
/** Waits that are retained, the most recent ones. */
const maximumWaits = 12
/** Waits below which no median is reported. */
const minimumWaits = 3
/** Wait from which requests are refused, and wait at which the refused share is 1 before it is capped, in latency goals of the route. */
const refusalGoals = { from: 0.8, until: 1.6 } as const
/** Largest refused share: some requests must be sent, since only their answers show that waits are short again. */
const maximumRefusedShare = 0.75
/** Added to the wait of a late request, in latency goals, so that it is refused earlier. */
const lateExtraGoals = 0.15

interface Wait { readonly at: number, readonly milliseconds: number }

/** Waits of one service's requests, as one entry observes them; times in milliseconds of the monotonic clock. */
export class FirstEventWaits {
  private waits: readonly Wait[] = []
  /** Times at which requests without an answer yet were sent, by request number. */
  private readonly pending = new Map<number, number>()
  private lastNumber = 0

  /** Records a request that is sent at `now`; returns its number. */
  recordSent (now: number): number {
    this.lastNumber += 1
    this.pending.set(this.lastNumber, now)
    return this.lastNumber
  }

  /** Records that the answer of a request has started, or that the request ended without one (`isStarted` false). */
  recordStarted (number: number, now: number, isStarted: boolean): void {
    const sentAt = this.pending.get(number)
    if (sentAt === undefined) return
    this.pending.delete(number)
    if (isStarted) this.waits = [...this.waits, { at: now, milliseconds: now - sentAt }].slice(-maximumWaits)
  }

  /** Median of the recent waits, milliseconds; 0 for too few. A pending request counts once it has waited longer than the median. */
  medianMilliseconds (now: number): number {
    const recent = this.waits.filter(({ at }) => now - at <= windowMilliseconds).map(({ milliseconds }) => milliseconds)
    const median = medianOf(recent)
    const ages = [...this.pending.values()].map(sentAt => now - sentAt).filter(age => age > median)
    const samples = [...recent, ...ages]
    return samples.length < minimumWaits ? 0 : medianOf(samples)
  }
}

/**
 * Share of requests that is refused at once. Load pattern: arrivals exceed the engines' prompt throughput, as in a burst
 * or while engines swap their weights. Without refusals every caller waits past its goal; with them most answers come
 * within it.
 */
export function refusedShare (waitMilliseconds: number, goalMilliseconds: number, isLate: boolean): number {
  const waitGoals = waitMilliseconds / Math.max(1, goalMilliseconds) + (isLate ? lateExtraGoals : 0)
  const share = (waitGoals - refusalGoals.from) / (refusalGoals.until - refusalGoals.from)
  return Math.max(0, Math.min(maximumRefusedShare, share))
}

/**
 * The part of `share` that requests of one priority bear in a ranked service, where the least urgent are refused first;
 * `arrivals` by priority, the most urgent first. No priority bears more than the largest refused share, so that each is served.
 */
export function refusedShareOfPriority (share: number, priority: number, arrivals: readonly number[]): number {
  const total = arrivals.reduce((sum, count) => sum + count, 0)
  let left = share * total
  for (let other = arrivals.length - 1; other > priority; other -= 1) left -= Math.min(left, (arrivals[other] ?? 0) * maximumRefusedShare)
  const own = arrivals[priority] ?? 0
  return own === 0 ? share : Math.min(maximumRefusedShare, left / own)
}

function medianOf (numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0
}
