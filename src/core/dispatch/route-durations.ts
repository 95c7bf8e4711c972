/** How long the requests of each route have taken lately. */

/** Time after which a duration no longer counts, milliseconds; it counts for at least half of it. */
const windowMilliseconds = 10_000
/** The longest recent duration is multiplied by this: requests differ in size, and a slow upstream takes longer. */
const durationMargin = 2

interface LongestDurations {
  /** When the current half of the window began. */
  readonly since: number
  readonly current: number
  readonly previous: number
}

/** Longest recent time from a request's arrival to its complete answer, by route; times in milliseconds of the monotonic clock. */
export class RouteDurations {
  private readonly longest = new Map<string, LongestDurations>()

  /** Records that a request that arrived at `arrivedAt` has its complete answer. */
  recordEnd (route: string, arrivedAt: number, now: number): void {
    const known = this.longestOf(route, now) ?? { since: now, current: 0, previous: 0 }
    this.longest.set(route, { ...known, current: Math.max(known.current, now - arrivedAt) })
  }

  /** When a request that arrives now has its complete answer, with a margin; undefined if none of its route has ended lately. */
  usualEnd (route: string, now: number): number | undefined {
    const known = this.longestOf(route, now)
    return known === undefined ? undefined : now + durationMargin * Math.max(known.current, known.previous)
  }

  private longestOf (route: string, now: number): LongestDurations | undefined {
    const known = this.longest.get(route)
    if (known === undefined) return undefined
    const halves = Math.floor((now - known.since) / (windowMilliseconds / 2))
    if (halves === 0) return known
    if (halves > 1) return undefined
    return { since: known.since + windowMilliseconds / 2, current: 0, previous: known.current }
  }
}
