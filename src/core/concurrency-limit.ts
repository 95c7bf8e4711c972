/** How much an upstream bears: the limit starts cold, grows on evidence, and falls at once. */

/** Bounds of a service's upstreams. */
export interface LimitBounds {
  readonly coldBound: number
  readonly fullBound: number
  readonly firstByteTargetMilliseconds: number
}

/** What the agent knows of its upstream's strength. */
export interface ConcurrencyLimit {
  /** Requests in flight that are allowed now. */
  readonly limit: number
  readonly cold: boolean
  /** Good answers since the limit last changed. */
  readonly successCount: number
  /** Factor on the evidence that growth needs; it doubles when the upstream is lost above its cold bound. */
  readonly growthBackoff: number
}

/** One whole answer, as evidence. */
export interface AnswerSample {
  readonly firstByteMilliseconds: number
  /** Whether the limit, and not a lack of requests, held the load down while the request ran. */
  readonly atLimit: boolean
}

const coldSuccessesPerStep = 16
const successesPerStep = 4
const maximumGrowthBackoff = 16

/** Bearing of an upstream just after a cold start. */
export function coldLimit (bounds: LimitBounds, caution = 1): ConcurrencyLimit {
  return { limit: bounds.coldBound, cold: true, successCount: 0, growthBackoff: caution }
}

/** Bearing after the upstream restarted, crashed or reset a connection. */
export function limitAfterLoss (bearing: ConcurrencyLimit, bounds: LimitBounds): ConcurrencyLimit {
  const grew = bearing.limit > bounds.coldBound
  return coldLimit(bounds, grew ? Math.min(maximumGrowthBackoff, bearing.growthBackoff * 2) : bearing.growthBackoff)
}

/** Bearing after a whole answer. */
export function limitAfterAnswer (bearing: ConcurrencyLimit, bounds: LimitBounds, answer: AnswerSample): ConcurrencyLimit {
  if (answer.firstByteMilliseconds > bounds.firstByteTargetMilliseconds) {
    return { ...bearing, limit: Math.max(bounds.coldBound, Math.floor(bearing.limit / 2)), successCount: 0 }
  }
  if (!answer.atLimit || bearing.limit >= bounds.fullBound) return bearing
  const evidence = bearing.successCount + 1
  if (evidence < successesNeeded(bearing, bounds)) return { ...bearing, successCount: evidence }
  const limit = bearing.limit + 1
  const isFull = limit >= bounds.fullBound
  return { limit, cold: !isFull, successCount: 0, growthBackoff: isFull ? Math.max(1, bearing.growthBackoff / 2) : bearing.growthBackoff }
}

/** Bearing within bounds that a new configuration sets. */
export function clampLimit (bearing: ConcurrencyLimit, bounds: LimitBounds): ConcurrencyLimit {
  const limit = Math.max(bounds.coldBound, Math.min(bounds.fullBound, bearing.limit))
  return limit === bearing.limit ? bearing : { ...bearing, limit, successCount: 0 }
}

/** Requests of earlier agents that may still run on the upstream; it never rises within one incarnation. */
export function lowerUntrackedCount (foreign: number, running: number, ownSurely: number): number {
  return Math.min(foreign, Math.max(0, running - ownSurely))
}

function successesNeeded (bearing: ConcurrencyLimit, bounds: LimitBounds): number {
  const perStep = bearing.limit === bounds.coldBound ? coldSuccessesPerStep : successesPerStep
  return bearing.limit * perStep * bearing.growthBackoff
}
