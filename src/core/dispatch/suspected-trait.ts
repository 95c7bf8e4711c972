/** Ends of upstreams that count against one trait of requests; times are milliseconds of the monotonic clock. */

/** A trait that is suspected of crashing upstreams. */
export interface SuspectedTrait {
  /** Upstream incarnations that ended, and when. */
  readonly ends: ReadonlyMap<string, number>
  /** When a request with the trait was last refused; 0 for never. */
  readonly refusedAt: number
}

/** Number of ends; those less than `momentMilliseconds` after the last counted one are not counted. */
export function countMoments (times: readonly number[], momentMilliseconds: number): number {
  let count = 0
  let countedAt = -Infinity
  for (const at of [...times].sort((left, right) => left - right)) {
    if (at - countedAt < momentMilliseconds) continue
    count += 1
    countedAt = at
  }
  return count
}

/** The `maximumCount` oldest ends. */
export function keepOldest (ends: ReadonlyMap<string, number>, maximumCount: number): ReadonlyMap<string, number> {
  if (ends.size <= maximumCount) return ends
  return new Map([...ends].sort(([, left], [, right]) => left - right).slice(0, maximumCount))
}

/** The trait to forget first: of those that are not blocked the one with the fewest ends, and of these the one suspected longest ago. */
export function leastSuspect (suspected: ReadonlyMap<string, SuspectedTrait>, blocked: ReadonlySet<string>): string {
  let [least = '', fewest] = ['', Infinity]
  for (const [trait, { ends }] of suspected) {
    if (ends.size < fewest && !blocked.has(trait)) [least, fewest] = [trait, ends.size]
    if (fewest === 1) break
  }
  return least === '' ? suspected.keys().next().value ?? '' : least
}
