/** When the caller of a refused request should retry. */

/** Longest delay that callers accept, as a share of the time until their deadline. */
const maximumDelayShare = 1 / 3
/** Shortest delay, as such a share: a short overload has passed by then, and the shorter timeout that the caller sends marks its request as a retry. */
const minimumDelayShare = 1 / 5
/** Shortest delay, as such a share, while no upstream serves and it is not known when one will: such outages last for seconds. */
const outageDelayShare = 0.29
/** Period after an upstream is expected to serve over which retries are spread, milliseconds. */
const spreadMilliseconds = 500

/**
 * Time at which a refused caller should retry, milliseconds of the monotonic clock. `expectedAt` is set while no upstream
 * serves: the time at which one is expected to, or Infinity when that is not known. Load pattern: requests that a burst
 * gets refused together must not be retried together.
 */
export function chooseRetryAt (now: number, deadline: number, expectedAt: number | undefined, random: () => number): number {
  const remaining = Math.max(0, deadline - now)
  const latest = now + remaining * maximumDelayShare
  const isKnown = expectedAt !== undefined && expectedAt + spreadMilliseconds <= latest
  if (isKnown) return Math.max(now + remaining * minimumDelayShare, expectedAt + random() * spreadMilliseconds)
  const shortestShare = expectedAt === undefined ? minimumDelayShare : outageDelayShare
  return now + remaining * (shortestShare + random() * (maximumDelayShare - shortestShare))
}

/** Earliest and latest time at which a refused caller should retry, milliseconds of the monotonic clock: later ones are not accepted, earlier ones not recognised as retries. */
export function retryTimes (now: number, deadline: number): { readonly earliest: number, readonly latest: number } {
  const remaining = Math.max(0, deadline - now)
  return { earliest: now + remaining * minimumDelayShare, latest: now + remaining * maximumDelayShare }
}
