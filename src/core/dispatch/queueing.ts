/** Who may wait at an entry when no upstream takes a request, how long, and in which order they go on. */

/** Why no upstream takes a request now. */
export type PlacementFailure = 'full' | 'waits' | 'no-weights' | 'no-upstream'

/** What the decision looks at; times in steady milliseconds. */
export interface QueueingContext {
  readonly now: number
  readonly arrivedAt: number
  /** By when the caller must have its final answer. */
  readonly deadline: number
  readonly goalMilliseconds: number
  /** Whether the goal has passed already, as for a caller that comes back after a refusal. */
  readonly isLate: boolean
  readonly reason: PlacementFailure
  /** When the first upstream is expected to serve again; undefined when nothing is known. */
  readonly expectedAt: number | undefined
  /** Requests of the same kind, late or not, that wait here already. */
  readonly waiting: number
}

/** Part of the goal that a request may wait for a place. */
const queueGoalShare = 0.2
/** Longest wait of a late request for a place, and for an upstream that is expected, milliseconds. */
const lateQueueMilliseconds = { place: 1200, upstream: 2000 } as const
/** Time that is kept for the answer itself, milliseconds: a stream of usual length. */
const answerReserveMilliseconds = 1500
/** Time after the expected moment in which places come free, milliseconds. */
const recoveryMilliseconds = 500
/** Requests of one kind that wait at one entry at most: what it can place within the longest wait. */
const maximumQueued = 8

/**
 * Until when a request may wait; undefined when it is refused at once. A late request has nothing to lose but its
 * answer, and its caller does not come a third time; one on time is refused while it can still come back.
 * Load patterns: engines that change or start together, and the seconds after a burst.
 */
export function queueDeadline (view: QueueingContext): number | undefined {
  if (view.reason === 'no-upstream' || view.waiting >= maximumQueued) return undefined
  const latest = view.deadline - answerReserveMilliseconds
  const most = view.isLate ? view.now + lateQueueMilliseconds[isOutage(view) ? 'upstream' : 'place'] : view.arrivedAt + view.goalMilliseconds * queueGoalShare
  const until = Math.min(latest, most)
  if (until <= view.now) return undefined
  if (!isOutage(view)) return view.reason === 'waits' && !view.isLate ? undefined : until
  if (view.expectedAt === undefined || view.expectedAt > until) return undefined
  return Math.min(latest, Math.max(view.now, view.expectedAt) + recoveryMilliseconds)
}

/** Whether no upstream serves at all. */
function isOutage (view: QueueingContext): boolean {
  return view.reason === 'no-weights'
}

/** A request that waits. */
export interface QueuedRequest {
  readonly number: number
  readonly isLate: boolean
}

/** Waiters in the order in which they go on: those that can still meet their goal first, then by arrival. */
export function orderQueue<Item extends QueuedRequest> (waiters: readonly Item[]): readonly Item[] {
  return [...waiters].sort((left, right) => Number(left.isLate) - Number(right.isLate) || left.number - right.number)
}
