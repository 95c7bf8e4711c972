/** Adaptive concurrency limit of an upstream: it starts at the cold bound, rises slowly with fast answers, and falls at once. */

/** Bounds of the concurrency limit, from the configuration of the service; bounds are in requests in flight. */
export interface LimitBounds {
  readonly coldBound: number
  readonly fullBound: number
  readonly firstByteTargetMilliseconds: number
}

/** Concurrency limit of one upstream, with the state of its growth. */
export interface ConcurrencyLimit {
  /** Maximum number of requests in flight. */
  readonly limit: number
  /** Set by a cold start and by each step up below the full bound, cleared at the full bound. */
  readonly cold: boolean
  /** Answers at the limit with a first byte in time, since the limit last changed. */
  readonly successCount: number
  /** Factor on the successes that the next step needs; doubles when the upstream is lost above its cold bound. */
  readonly growthBackoff: number
}

/** Measurements of one complete answer. */
export interface AnswerSample {
  readonly firstByteMilliseconds: number
  /** Whether the upstream was at its limit while the request ran; otherwise the answer does not show that more load is safe. */
  readonly atLimit: boolean
}

/** Successes for each request of the limit that raise it by one: more at the cold bound, where nothing is known of the upstream yet. */
const coldSuccessesPerStep = 16
const successesPerStep = 4
const maximumGrowthBackoff = 16

/** Limit of an upstream just after a cold start. */
export function coldLimit (bounds: LimitBounds, growthBackoff = 1): ConcurrencyLimit {
  return { limit: bounds.coldBound, cold: true, successCount: 0, growthBackoff }
}

/** Limit after the upstream restarted, crashed or reset a connection: back to the cold bound. */
export function limitAfterLoss (current: ConcurrencyLimit, bounds: LimitBounds): ConcurrencyLimit {
  const hadGrown = current.limit > bounds.coldBound
  return coldLimit(bounds, hadGrown ? Math.min(maximumGrowthBackoff, current.growthBackoff * 2) : current.growthBackoff)
}

/** Limit after a complete answer: one up after enough successes, halved when the first byte came too late. */
export function limitAfterAnswer (current: ConcurrencyLimit, bounds: LimitBounds, answer: AnswerSample): ConcurrencyLimit {
  if (answer.firstByteMilliseconds > bounds.firstByteTargetMilliseconds) {
    return { ...current, limit: Math.max(bounds.coldBound, Math.floor(current.limit / 2)), successCount: 0 }
  }
  if (!answer.atLimit || current.limit >= bounds.fullBound) return current
  const successCount = current.successCount + 1
  if (successCount < successesNeeded(current, bounds)) return { ...current, successCount }
  const limit = current.limit + 1
  const isWarm = limit >= bounds.fullBound
  return { limit, cold: !isWarm, successCount: 0, growthBackoff: isWarm ? Math.max(1, current.growthBackoff / 2) : current.growthBackoff }
}

/** Limit moved into the bounds of a new configuration. */
export function clampLimit (current: ConcurrencyLimit, bounds: LimitBounds): ConcurrencyLimit {
  const limit = Math.max(bounds.coldBound, Math.min(bounds.fullBound, current.limit))
  return limit === current.limit ? current : { ...current, limit, successCount: 0 }
}

/**
 * Upper bound of the requests that run on the upstream unknown to this agent, such as those of a previous agent.
 * The upstream reports `running` requests, of which at least `trackedRunning` are this agent's. The bound never rises.
 */
export function lowerUntrackedCount (untracked: number, running: number, trackedRunning: number): number {
  return Math.min(untracked, Math.max(0, running - trackedRunning))
}

function successesNeeded (current: ConcurrencyLimit, bounds: LimitBounds): number {
  const perStep = current.limit === bounds.coldBound ? coldSuccessesPerStep : successesPerStep
  return current.limit * perStep * current.growthBackoff
}
