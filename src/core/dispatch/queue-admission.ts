/** Admission to the bounded queue before an upstream, shared fairly among organisations. */

import { compareOrder, type OrderPlace } from './service-order.js'

/** Queued request. */
export interface QueuedRequest {
  readonly id: string
  /** Priority class, 0 is the most urgent. */
  readonly rank: number
  readonly organisation: string
  /** Weight of the organisation in the fair share, above 0. */
  readonly share: number
}

/** Whether a request may be queued, and which queued request is evicted for it. */
export type QueueDecision =
  | { readonly kind: 'enter' }
  | { readonly kind: 'replace', readonly evictedId: string }
  | { readonly kind: 'over-share' }

/** Length of the queue for each request in flight that the limit allows. */
export const queuedPerSlot = 4

/**
 * Decides whether a request may join a queue of at most `capacity` requests; `queued` is in order of arrival.
 * When the queue is at capacity, the last request of the organisation that most exceeds its share is evicted from the least urgent class,
 * if the new request is more urgent or its organisation would use less of its share.
 */
export function admitToQueue (queued: readonly QueuedRequest[], incoming: QueuedRequest, capacity: number): QueueDecision {
  if (queued.length < capacity) return { kind: 'enter' }
  const last = queued.reduce((latest, request) => compareOrder(placeIn(queued, request), placeIn(queued, latest)) >= 0 ? request : latest)
  const isAhead = compareOrder(placeIn([...queued, incoming], incoming), placeIn(queued, last)) < 0
  return isAhead ? { kind: 'replace', evictedId: last.id } : { kind: 'over-share' }
}

/** Expected start of a request with `ahead` requests before it, epoch milliseconds; `limit` requests run at a time and take `meanMilliseconds` each. */
export function expectedStart (now: number, ahead: number, limit: number, meanMilliseconds: number): number {
  return now + Math.floor(ahead / Math.max(1, limit)) * meanMilliseconds
}

/** Place of a request: the use of its organisation is its number of queued requests of that rank, divided by its share. */
function placeIn (queued: readonly QueuedRequest[], { rank, organisation, share }: QueuedRequest): OrderPlace {
  return { rank, usage: queued.filter(other => other.rank === rank && other.organisation === organisation).length / share }
}
