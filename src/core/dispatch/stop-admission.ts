/** Which requests an entry still takes during its planned stop. */

/** Times of a planned stop, in milliseconds of the monotonic clock. */
export interface StopTimes {
  /** When the entry closes its connections. */
  readonly closesAt: number
  /** Until when callers may hold the entry's address from the directory. */
  readonly cachedUntil: number
}

/** The request that has arrived; times in milliseconds of the monotonic clock. */
export interface StopRequest {
  readonly arrivedAt: number
  /** Deadline of its final answer. */
  readonly deadline: number
  /** When requests of its route usually have their complete answer; undefined if none has ended lately. */
  readonly usualEnd: number | undefined
  readonly isRepeatable: boolean
}

/** Time before the connections close by which the answer must be complete: it still has to reach the caller, milliseconds. */
const deliveryMilliseconds = 100

/**
 * Whether the request is taken: only if it ends before the connections are closed. A caller with a fresh answer of the
 * directory is refused only where a request of its route may not end in time; a request that must not be repeated needs
 * its deadline before the close. Load pattern: callers that go on using an entry until it is gone.
 */
export function mayTakeWhileStopping ({ closesAt, cachedUntil }: StopTimes, { arrivedAt, deadline, usualEnd, isRepeatable }: StopRequest): boolean {
  const answerBy = closesAt - deliveryMilliseconds
  if (deadline <= answerBy) return true
  return isRepeatable && arrivedAt < cachedUntil && usualEnd !== undefined && usualEnd <= answerBy
}
