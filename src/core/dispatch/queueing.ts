/** Which requests may queue at an entry while no upstream takes them, for how long, and in which order they are placed. */

/**
 * Why no upstream takes a request now: all are at capacity (`full`), all have asked for rest (`resting`), all have named
 * limits that are used up (`limited`), agents were asked for a slot and have not all answered (`asked`), first events take too long (`waits`), none serves the weights (`no-weights`), or none may serve the
 * request (`no-upstream`).
 */
export type PlacementFailure = 'full' | 'asked' | 'resting' | 'limited' | 'waits' | 'no-weights' | 'no-upstream'

/** What the queue deadline depends on; times in milliseconds of the monotonic clock. */
export interface QueueingContext {
  readonly now: number
  readonly arrivedAt: number
  /** Time by which the caller must have its complete answer. */
  readonly deadline: number
  readonly goalMilliseconds: number
  /** Whether the latency goal has already passed, as for a retry after a refusal. */
  readonly isLate: boolean
  readonly reason: PlacementFailure
  /** Time at which the first upstream is expected to serve, to end its rest, or to take another request within its limit; undefined when that is not known. */
  readonly expectedAt: number | undefined
  /** Requests already queued that are late or on time like this one. */
  readonly waiting: number
}

/** Share of the latency goal that an on-time request may be queued. */
const queueGoalShare = 0.2
/** Longest time that a late request is queued for a slot (`place`), or for an upstream that is expected to serve, milliseconds. */
const lateQueueMilliseconds = { place: 1200, upstream: 2000 } as const
/** Time before the deadline that is reserved for the answer itself, milliseconds: a stream of usual length. */
const answerReserveMilliseconds = 1500
/** Time after an upstream is expected to serve in which slots become free, milliseconds. */
const recoveryMilliseconds = 500
/** Time within which a permit can be there, milliseconds: some round trips between regions. */
const permitAnswerMilliseconds = 100
/** Late or on-time requests queued at one entry: as many as it can place within the longest wait. */
const maximumQueued = 8

/**
 * Time until which a request may be queued; undefined when it is refused at once. A late request is queued for longer,
 * since its caller does not retry again. An on-time request is refused while its caller can still retry. Load patterns:
 * engines that swap weights or start together, and the seconds after a burst.
 */
export function queueDeadline (context: QueueingContext): number | undefined {
  return context.waiting >= maximumQueued ? undefined : usualDeadline(context)
}

function usualDeadline (context: QueueingContext): number | undefined {
  if (context.reason === 'no-upstream') return undefined
  const latest = context.deadline - answerReserveMilliseconds
  const queuedUntil = context.isLate ? context.now + lateQueueMilliseconds[isOutage(context) ? 'upstream' : 'place'] : context.arrivedAt + context.goalMilliseconds * queueGoalShare
  const until = Math.min(latest, queuedUntil)
  if (context.reason === 'limited') return limitedDeadline(context, until)
  if (context.reason === 'resting') return context.expectedAt === undefined || context.expectedAt > until ? undefined : until
  if (until <= context.now) return undefined
  if (!isOutage(context)) return context.reason === 'waits' && !context.isLate ? undefined : until
  if (context.expectedAt === undefined || context.expectedAt > until) return undefined
  return Math.min(latest, Math.max(context.now, context.expectedAt) + recoveryMilliseconds)
}

/** What is expected of a service, for `expectedDeadline`; durations in milliseconds. */
export interface ServiceExpectation {
  /** Expected time until a request starts with those ahead of it that are queued already. */
  readonly waitMilliseconds: number
  /** Usual time from sending a request to the end of its answer. */
  readonly answerMilliseconds: number
  /** Queued requests, and those that can be served by the latest time at which this one can start; the latter while no upstream serves. */
  readonly queued: number
  readonly servable: number
}

/**
 * The same where expected times decide: a request waits as long as it can still be served in time, a fifth of the goal for
 * one that is on time and until the deadline for one whose caller does not try again; it is refused at once if its turn is expected later.
 */
export function expectedDeadline (context: QueueingContext, expectation: ServiceExpectation): number | undefined {
  const { now, reason, isLate } = context
  const latest = context.deadline - expectation.answerMilliseconds
  if (isOutage(context)) {
    const isServed = context.expectedAt !== undefined && context.expectedAt < latest && expectation.queued < expectation.servable
    return isServed ? latest : undefined
  }
  if (reason === 'no-upstream' || (reason === 'waits' && !isLate)) return undefined
  const until = isLate ? latest : Math.min(latest, context.arrivedAt + context.goalMilliseconds * queueGoalShare)
  if (until <= now || now + expectation.waitMilliseconds > until) return undefined
  return reason === 'limited' || reason === 'resting' ? usualDeadline(context) : until
}

/**
 * Time from which a request that waits for the end of an outage is offered to upstreams: those that wait follow each other at the
 * rate at which `servable` of them can start from `expectedAt` to `latest`. If all were offered at once, upstreams would read their prompts
 * for so long that requests which arrive then miss their goals.
 */
export function offeredFrom (expectedAt: number, latest: number, ahead: number, servable: number): number {
  return servable <= 0 ? expectedAt : expectedAt + (latest - expectedAt) * Math.min(1, ahead / servable)
}

/** The same where only limits prevent the request: until the permit that was asked for can be there; refused at once when the next one is known to come later than the request may wait. */
function limitedDeadline ({ now, deadline, expectedAt }: QueueingContext, until: number): number | undefined {
  if (expectedAt === undefined) return Math.max(until, permitDeadline(now, deadline))
  return expectedAt > until ? undefined : until
}

/**
 * Time until which a repeatable request waits for a slot that received the answer to another one: its caller cannot be told that
 * it was not run, and the upstreams need not be at their limit.
 */
export function repeatDeadline (now: number, deadline: number, goalMilliseconds: number): number {
  return Math.min(deadline, now + goalMilliseconds)
}

/** Time until which a request waits for the answer of the entry that grants permits. */
export function permitDeadline (now: number, deadline: number): number {
  return Math.min(deadline, now + permitAnswerMilliseconds)
}

/** Whether no upstream serves the weights at all. */
function isOutage (context: QueueingContext): boolean {
  return context.reason === 'no-weights'
}

/** A request that is queued at an entry. */
export interface QueuedRequest {
  /** Ascending in the order of arrival. */
  readonly number: number
  readonly isLate: boolean
}

/** Queued requests in the order in which they are placed: those that can still meet their goal first, then by arrival. */
export function orderQueue<Item extends QueuedRequest> (requests: readonly Item[]): readonly Item[] {
  return [...requests].sort((left, right) => Number(left.isLate) - Number(right.isLate) || left.number - right.number)
}
