/** Health of an upstream, derived from the entry's own calls to it. */

/**
 * How a call ended: `good` with an answer, `error` with a status of 500 or above or at the deadline, `lost` without a
 * usable answer, `unreachable` without a connection, `silent` when it was cancelled while nothing came.
 */
export type CallOutcome = 'good' | 'error' | 'lost' | 'unreachable' | 'silent'

/** Health of one incarnation of an upstream. */
export interface Health {
  /** Exponential moving average of the share of failed calls. */
  readonly errorShare: number
  /** Consecutive calls that were lost or did not reach the upstream. */
  readonly losses: number
  /** Milliseconds of the monotonic clock until which no requests are sent there. */
  readonly ejectedUntil: number
}

/** Health before the first call. */
export const initialHealth: Health = { errorShare: 0, losses: 0, ejectedUntil: 0 }

/** Weight of the newest call in the moving average. */
const newestCallWeight = 0.15
/** First and longest ejection, milliseconds; each further loss in a row doubles it. */
const ejectionMilliseconds = { first: 250, maximum: 3000 } as const
/** Penalty per unit of error share above the tolerated one, in requests. */
const errorPenalty = 12
/** Error share that is usual and gives no penalty. */
const toleratedErrorShare = 0.2

/**
 * Health after one more call that was sent at `sentAt` and ended at `now`, milliseconds of the monotonic clock. A single
 * lost call does not eject. Silent calls are no errors, and those sent before the end of an ejection do not lengthen it:
 * they may all be of one pause, which a healthy upstream makes too.
 */
export function updateHealth (health: Health, outcome: CallOutcome, now: number, sentAt = now): Health {
  if (outcome === 'good') return { errorShare: health.errorShare * (1 - newestCallWeight), losses: 0, ejectedUntil: 0 }
  if (outcome === 'silent' && health.ejectedUntil > sentAt) return health
  const errorShare = outcome === 'silent' ? health.errorShare : health.errorShare * (1 - newestCallWeight) + newestCallWeight
  if (outcome === 'error') return { ...health, errorShare }
  const losses = health.losses + 1
  const isEjected = outcome === 'unreachable' || losses > 1
  const until = now + Math.min(ejectionMilliseconds.maximum, ejectionMilliseconds.first * 2 ** Math.min(losses - 1, 10))
  return { errorShare, losses, ejectedUntil: isEjected ? until : health.ejectedUntil }
}

/** Penalty for errors, in requests; see `Candidate.penalty`. */
export function penaltyOf (health: Health): number {
  return Math.max(0, health.errorShare - toleratedErrorShare) * errorPenalty
}

/** Upstreams that are not ejected at `now`, or all of them where every one is. */
export function excludeEjected<Item extends { readonly health: Health }> (upstreams: readonly Item[], now: number): readonly Item[] {
  const available = upstreams.filter(({ health }) => health.ejectedUntil <= now)
  return available.length > 0 ? available : upstreams
}
