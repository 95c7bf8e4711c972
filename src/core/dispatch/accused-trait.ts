/** Ends of upstreams that accuse one trait of requests; times are milliseconds of the monotonic clock. */

/** A trait that is accused of crashing upstreams. */
export interface AccusedTrait {
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

/** The trait to forget first: of those that are not convicted the one with the fewest ends, and of these the one accused longest ago. */
export function leastSuspect (accused: ReadonlyMap<string, AccusedTrait>, convicted: ReadonlySet<string>): string {
  let [least = '', fewest] = ['', Infinity]
  for (const [trait, { ends }] of accused) {
    if (ends.size < fewest && !convicted.has(trait)) [least, fewest] = [trait, ends.size]
    if (fewest === 1) break
  }
  return least === '' ? accused.keys().next().value ?? '' : least
}
