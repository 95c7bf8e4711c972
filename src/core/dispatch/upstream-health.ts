/** What an entry concludes about an upstream from its own calls. */

/** How a call ended, as evidence. */
export type CallOutcome = 'good' | 'error' | 'lost' | 'unreachable'

/** Health of one upstream in one incarnation. */
export interface Health {
  /** Moving share of calls that ended in an error. */
  readonly errorShare: number
  /** Calls in a row that were lost or did not reach it. */
  readonly losses: number
  /** Steady milliseconds until which nothing is sent there. */
  readonly ejectedUntil: number
}

export const initialHealth: Health = { errorShare: 0, losses: 0, ejectedUntil: 0 }

/** Weight of the newest call in the moving share of errors. */
const newestCallWeight = 0.15
/** First and longest time without requests after losses, milliseconds. */
const ejectionMilliseconds = { first: 250, maximum: 3000 } as const
/** Requests' worth of aversion at an error share of 1. */
const errorPenalty = 12
/** Error share that is usual and no reason for aversion. */
const toleratedErrorShare = 0.2

/** Health after one more call that ended at `now`, steady milliseconds. */
export function updateHealth (health: Health, evidence: CallOutcome, now: number): Health {
  if (evidence === 'good') return { errorShare: health.errorShare * (1 - newestCallWeight), losses: 0, ejectedUntil: 0 }
  const errorShare = health.errorShare * (1 - newestCallWeight) + newestCallWeight
  if (evidence === 'error') return { ...health, errorShare }
  const losses = health.losses + 1
  const isEjected = evidence === 'unreachable' || losses > 1
  const until = now + Math.min(ejectionMilliseconds.maximum, ejectionMilliseconds.first * 2 ** Math.min(losses - 1, 10))
  return { errorShare, losses, ejectedUntil: isEjected ? until : health.ejectedUntil }
}

/** Requests' worth of aversion. */
export function penaltyOf (health: Health): number {
  return Math.max(0, health.errorShare - toleratedErrorShare) * errorPenalty
}

/** Upstreams that are not ejected, or all where every one of them is. */
export function excludeEjected<Item extends { readonly health: Health }> (upstreams: readonly Item[], now: number): readonly Item[] {
  const sound = upstreams.filter(({ health }) => health.ejectedUntil <= now)
  return sound.length > 0 ? sound : upstreams
}
