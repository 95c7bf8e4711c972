/**
 * Rest that an upstream asks for when it turns a request away: until its end the upstream gets no requests of this entry.
 * Afterwards one request at a time is tried there until one is not turned away, and few at a time for a while: all entries
 * return at about the same moment, and an upstream that is full again would turn them all away. Times are milliseconds of the
 * monotonic clock.
 */

/** Time for which a request that is tried after a rest keeps others back while its answer has not begun, milliseconds. */
const trialMilliseconds = 1000
/** Time after the first request that is not turned away in which only few wait for their answers at once, milliseconds, and their number. */
const [rampMilliseconds, rampRequests] = [1000, 2] as const

/** What an upstream asked for. */
export interface Rest {
  /** Deadline of the rest. */
  readonly until: number
  /** Until when a request that was sent after it keeps others back; 0 before the first one. */
  readonly trialUntil: number
  /** Until when few requests are sent at once; undefined while all since the rest were turned away. */
  readonly rampUntil: number | undefined
}

/** Rest after an answer asked for one that ends at `until`; the latest deadline holds. */
export function askForRest (known: Rest | undefined, until: number): Rest {
  return { until: Math.max(known?.until ?? 0, until), trialUntil: 0, rampUntil: undefined }
}

/** Rest after a request was sent; a trial if it is the first one after the end. */
export function recordSentAfterRest (rest: Rest | undefined, now: number): Rest | undefined {
  if (rest === undefined || rest.rampUntil !== undefined || now < rest.until) return rest
  return { ...rest, trialUntil: now + trialMilliseconds }
}

/** Rest after an answer that does not turn its request away, which was sent at `sentAt`. */
export function recordTaken (rest: Rest | undefined, sentAt: number, now: number): Rest | undefined {
  if (rest === undefined || sentAt < rest.until) return rest
  if (rest.rampUntil === undefined) return { ...rest, rampUntil: now + rampMilliseconds }
  return now >= rest.rampUntil ? undefined : rest
}

/** Whether a rest, or its end, leaves room for a request now, with `unstarted` of this entry there whose answers have not begun. */
export function allowsRequest (rest: Rest | undefined, unstarted: number, now: number): boolean {
  if (rest === undefined) return true
  if (now < rest.until) return false
  if (rest.rampUntil === undefined) return now >= rest.trialUntil
  return now >= rest.rampUntil || unstarted < rampRequests
}

/** Whether a rest is in progress. */
export function isResting (rest: Rest | undefined, now: number): boolean {
  return rest !== undefined && now < rest.until
}
