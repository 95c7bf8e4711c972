/** Time for which this process could not run its callbacks, as on a busy machine or while it was paused. */
import { monotonicNow } from './clock.js'

const tickMilliseconds = 50
/** Lateness of a tick that is usual, milliseconds. */
const usualLatenessMilliseconds = 10

let accumulated = 0
let nextTickAt: number | undefined

/** Sum of the process's own delays since the first call, milliseconds; the difference of two calls is the delay between them. */
export function processDelay (): number {
  nextTickAt ??= startTicks()
  return accumulated + latenessAt(monotonicNow(), nextTickAt)
}

/** Starts the ticks, which do not keep the process alive; returns when the first is due, milliseconds of the monotonic clock. */
function startTicks (): number {
  setInterval(() => {
    const now = monotonicNow()
    accumulated += latenessAt(now, nextTickAt ?? now)
    nextTickAt = now + tickMilliseconds
  }, tickMilliseconds).unref()
  return monotonicNow() + tickMilliseconds
}

function latenessAt (now: number, dueAt: number): number {
  const lateness = now - dueAt
  return lateness > usualLatenessMilliseconds ? lateness : 0
}

/** Own delay of the process that a deadline of others makes up for, milliseconds: their answer may have arrived unread. */
const maximumOwnDelayMilliseconds = 1000

/** This process's own delay since something began; a deadline by which others must have answered moves by it. */
export class OwnDelay {
  private readonly atStart = processDelay()

  /** Time by which such a deadline moves so far, milliseconds: the own delay, up to a limit. */
  get milliseconds (): number {
    return Math.min(maximumOwnDelayMilliseconds, processDelay() - this.atStart)
  }
}
