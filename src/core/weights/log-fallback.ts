/** When an agent that no entry subscribes to reads the log. */

/** Time without a subscription after which the log is read, and shortest and longest pause between two reads, milliseconds. */
const pauseMilliseconds = { first: 3000, maximum: 10_000 } as const
/** Factor between two consecutive pauses. */
const pauseGrowth = 1.5
/** Share of a pause that varies, so that agents which lost the entries together do not read together. */
const jitter = 0.3

/**
 * Next time to read the log, milliseconds of the monotonic clock, when `reads` reads were made since the last subscription.
 * `from`: the time of the last subscription, or of the last read if there was one; `random` from 0 to 1.
 */
export function nextLogReadAt (from: number, reads: number, random: number): number {
  const shortest = Math.min(pauseMilliseconds.maximum / (1 + jitter), pauseMilliseconds.first * pauseGrowth ** reads)
  return from + shortest * (1 + jitter * random)
}
