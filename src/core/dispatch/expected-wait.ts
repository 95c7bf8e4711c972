/**
 * Expected wait of a request, from the requests ahead of it and the rate at which answers of its service start at this
 * entry. Load patterns: a step or burst above capacity, where what cannot be served in time is refused as it arrives, and
 * the seconds after it, where requests that were refused return.
 */

/** Time over which rates are measured, milliseconds: long enough for some samples at an entry with few requests. */
const windowMilliseconds = 2000
/** Length of one count, milliseconds. */
const countMilliseconds = 100
const counts = windowMilliseconds / countMilliseconds
/** Priorities from 0 on that are told apart. */
const priorities = 10
/** Starts in the window below which the rate is not known. */
const minimumStarts = 4
/** Requests that wait while the rate is not known: few enough to be served by one engine within a goal. */
const unknownRateQueue = 8
/** Requests that wait in any case: the next free slot may be at an upstream that none of those ahead uses. */
const minimumQueue = 4
/** Least part of the starts that late requests are expected to get, also during overload: it may end while they wait, and they have no other attempt. */
const minimumLateShare = 0.25
/** Random times among which the one with the fewest returning requests is chosen. */
const returnSamples = 3

/** Events a second over the last two seconds; times in milliseconds of the monotonic clock. */
export class RecentRate {
  private readonly counted: number[] = Array.from({ length: counts }, () => 0)
  private last = 0

  record (now: number): void {
    this.advance(now)
    const index = this.last % counts
    this.counted[index] = (this.counted[index] ?? 0) + 1
  }

  /** Events in the window. */
  count (now: number): number {
    this.advance(now)
    return this.counted.reduce((sum, counted) => sum + counted, 0)
  }

  perSecond (now: number): number {
    return this.count(now) * 1000 / windowMilliseconds
  }

  private advance (now: number): void {
    const current = Math.floor(now / countMilliseconds)
    for (let passed = Math.max(this.last + 1, current - counts + 1); passed <= current; passed += 1) this.counted[passed % counts] = 0
    this.last = Math.max(this.last, current)
  }
}

/** Expected waits for one service at one entry; times in milliseconds of the monotonic clock. */
export class ExpectedWaits {
  private readonly starts = new RecentRate()
  private readonly onTimeArrivals = new RecentRate()
  /** On-time arrivals by priority, the most urgent first. */
  private readonly byPriority = Array.from({ length: priorities }, () => new RecentRate())
  /** Requests that were told to return, by the number of the count in which they do. */
  private readonly returns = new Map<number, number>()

  /** Records that an answer has started. */
  recordStart (now: number): void {
    this.starts.record(now)
  }

  /** Records that a request has arrived. */
  recordArrival (now: number, isLate: boolean, priority: number): void {
    if (isLate) return
    this.onTimeArrivals.record(now)
    this.byPriority[priority]?.record(now)
  }

  /** Requests that a service which starts `servable` of them by `latest` can start behind the on-time ones that arrive from `from` on. */
  servableBehindArrivals (servable: number, from: number, latest: number, now: number): number {
    return Math.max(0, servable - this.onTimeArrivals.perSecond(now) * Math.max(0, latest - from) / 1000)
  }

  /** On-time arrivals in the window by priority, the most urgent first. */
  arrivalsByPriority (now: number): readonly number[] {
    return this.byPriority.map(rate => rate.count(now))
  }

  /** Starts a second that a request may expect to share with those ahead of it; a late one gets what on-time ones leave. Undefined while that is not known. */
  startsPerSecond (isLate: boolean, now: number): number | undefined {
    if (this.starts.count(now) < minimumStarts) return undefined
    const perSecond = this.starts.perSecond(now)
    return isLate ? Math.max(perSecond * minimumLateShare, perSecond - this.onTimeArrivals.perSecond(now)) : perSecond
  }

  /** Expected time until a request starts that has `ahead` others ahead of it, milliseconds; Infinity for too many while the rate is not known. */
  waitMilliseconds (isLate: boolean, ahead: number, now: number): number {
    if (ahead < minimumQueue) return 0
    const perSecond = this.startsPerSecond(isLate, now)
    if (perSecond === undefined) return ahead < unknownRateQueue ? 0 : Infinity
    return ahead / perSecond * 1000
  }

  /** Time at which a refused request should return, within `earliest` and `latest`: when room is expected behind `ahead` others and those told to return before, at random where few others return. */
  returnAt (earliest: number, latest: number, ahead: number, now: number, random: () => number): number {
    const expected = now + this.waitMilliseconds(true, ahead + this.returningAfter(now), now)
    const from = expected > latest ? earliest : Math.max(earliest, expected)
    const times = Array.from({ length: returnSamples }, () => from + random() * (latest - from))
    const chosen = times.reduce((best, time) => this.returningAt(time) < this.returningAt(best) ? time : best)
    const count = Math.floor(chosen / countMilliseconds)
    this.returns.set(count, (this.returns.get(count) ?? 0) + 1)
    return chosen
  }

  /** Requests that were told to return after `now`. */
  returningAfter (now: number): number {
    const current = Math.floor(now / countMilliseconds)
    for (const count of this.returns.keys()) if (count < current) this.returns.delete(count)
    return [...this.returns.values()].reduce((sum, returning) => sum + returning, 0)
  }

  private returningAt (time: number): number {
    return this.returns.get(Math.floor(time / countMilliseconds)) ?? 0
  }
}
