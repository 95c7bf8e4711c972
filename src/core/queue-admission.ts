/** Who may wait for an upstream: a bounded room, shared fairly, and nobody who cannot make the deadline. */

/** A request that waits. */
export interface QueuedRequest {
  readonly id: string
  /** 0 is the most urgent. */
  readonly rank: number
  readonly organisation: string
  readonly share: number
}

/** Whether a request may wait, and who has to leave for it. */
export type QueueDecision =
  | { readonly kind: 'enter' }
  | { readonly kind: 'replace', readonly evictedId: string }
  | { readonly kind: 'over-share' }

/** Places in the waiting room for each request in flight that is allowed. */
export const queuedPerSlot = 4

/** Decides over a newcomer; `waiting` is in order of arrival. */
export function admitToQueue (waiting: readonly QueuedRequest[], newcomer: QueuedRequest, places: number): QueueDecision {
  if (waiting.length < places) return { kind: 'enter' }
  const lowestRank = Math.max(...waiting.map(({ rank }) => rank))
  if (newcomer.rank > lowestRank) return { kind: 'over-share' }
  const candidates = waiting.filter(({ rank }) => rank === lowestRank)
  const heaviest = candidates.reduce((most, request) => usageOf(candidates, request) >= usageOf(candidates, most) ? request : most)
  if (newcomer.rank < lowestRank) return { kind: 'replace', evictedId: heaviest.id }
  const after = usageOf([...candidates, newcomer], newcomer)
  return after < usageOf(candidates, heaviest) ? { kind: 'replace', evictedId: heaviest.id } : { kind: 'over-share' }
}

/** Epoch milliseconds at which a request should start that has `ahead` others before it. */
export function expectedStart (now: number, ahead: number, limit: number, meanMilliseconds: number): number {
  return now + Math.floor(ahead / Math.max(1, limit)) * meanMilliseconds
}

/** Places that the request's organisation takes, relative to its share. */
function usageOf (waiting: readonly QueuedRequest[], request: QueuedRequest): number {
  return waiting.filter(({ organisation }) => organisation === request.organisation).length / request.share
}
