/** How much an upstream bears: the limit starts cold, grows on evidence, and falls at once. */

/** Bounds of a service's upstreams. */
export interface Bounds {
  readonly coldBound: number
  readonly fullBound: number
  readonly firstByteTargetMilliseconds: number
}

/** What the agent knows of its upstream's strength. */
export interface Bearing {
  /** Requests in flight that are allowed now. */
  readonly limit: number
  readonly cold: boolean
  /** Good answers since the limit last changed. */
  readonly evidence: number
}

/** Bearing of an upstream just after a cold start. */
export function coldBearing (bounds: Bounds): Bearing {
  return { limit: bounds.coldBound, cold: true, evidence: 0 }
}

/** A whole answer came; `firstByteMilliseconds` is how long its first byte took, `inFlight` how many ran beside it. */
export function noteAnswer (bearing: Bearing, bounds: Bounds, firstByteMilliseconds: number, inFlight: number): Bearing {
  if (firstByteMilliseconds > bounds.firstByteTargetMilliseconds) {
    const limit = Math.max(bounds.coldBound, Math.floor(bearing.limit / 2))
    return { ...bearing, limit, evidence: 0 }
  }
  if (inFlight < bearing.limit) return bearing
  const evidence = bearing.evidence + 1
  const needed = bearing.limit * answersPerStep
  if (evidence < needed) return { ...bearing, evidence }
  const limit = Math.min(bounds.fullBound, bearing.limit + 1)
  return { limit, cold: limit < bounds.fullBound, evidence: 0 }
}

const answersPerStep = 4
