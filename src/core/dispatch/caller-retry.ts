/** When a refused caller should come back. */

/** Callers wait at most this part of the time that they have left. */
const maximumDelayShare = 1 / 3
/** Shortest part: by then a short overload has passed, and the caller can be told from one that comes first. */
const minimumDelayShare = 1 / 5
/** Shortest part while nobody knows when an upstream serves again: that lasts for seconds. */
const outageDelayShare = 0.29
/** Time after an upstream's return over which callers come back, milliseconds. */
const spreadMilliseconds = 500

/**
 * Steady milliseconds at which a refused caller should come back. `expectedAt` is given while no upstream serves: when
 * one is expected to, Infinity when that is not known.
 * Load pattern: a burst that is refused together must not come back together.
 */
export function chooseRetryAt (now: number, deadline: number, expectedAt: number | undefined, random: () => number): number {
  const left = Math.max(0, deadline - now)
  const latest = now + left * maximumDelayShare
  const isKnown = expectedAt !== undefined && expectedAt + spreadMilliseconds <= latest
  if (isKnown) return Math.max(now + left * minimumDelayShare, expectedAt + random() * spreadMilliseconds)
  const shortest = expectedAt === undefined ? minimumDelayShare : outageDelayShare
  return now + left * (shortest + random() * (maximumDelayShare - shortest))
}
