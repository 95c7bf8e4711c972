/** When upstreams that take no request now are expected to take one. */
import type { PlacementFailure } from '../../core/dispatch/queueing.js'
import type { UpstreamAvailability } from './upstream-availability.js'
import type { UpstreamLimits } from './upstream-limits.js'
import type { UpstreamView } from './upstream-view.js'

/** What the expectation depends on besides the upstreams. */
export interface ExpectationContext {
  readonly limits: UpstreamLimits
  isEvacuated (dataCentre: string): boolean
}

/**
 * When the first of some upstreams is expected to take a request that none took for a reason, milliseconds of the monotonic
 * clock: at the end of its rest, within its limit, or where it serves its weights. Undefined while that is not known.
 */
export function expectedAt (views: readonly UpstreamView[], reason: PlacementFailure, availability: UpstreamAvailability, { limits, isEvacuated }: ExpectationContext): number | undefined {
  if (reason === 'resting') return firstOf(views.map(view => availability.isWithdrawn(view) ? undefined : availability.restEnd(view.upstream)))
  if (reason === 'limited') return firstPermitAt(views.filter(view => !availability.isWithdrawn(view) && !availability.isResting(view.upstream)), limits)
  return firstOf(views.map(({ upstream, readyAt }) => isEvacuated(upstream.dataCentre) ? undefined : readyAt))
}

/** Requests that upstreams which do not serve now, but will, can start by `latest` together, at one in each interval. */
export function startsUntil (views: readonly UpstreamView[], latest: number, intervalMilliseconds: number, now: number, isEvacuated: ExpectationContext['isEvacuated']): number {
  const ready = views.flatMap(({ upstream, readyAt }) => readyAt === undefined || isEvacuated(upstream.dataCentre) ? [] : [Math.max(now, readyAt)])
  return ready.reduce((sum, readyAt) => sum + Math.max(0, latest - readyAt) / intervalMilliseconds, 0)
}

/** Undefined also while the entry that grants the permits of one of them has not answered yet. */
function firstPermitAt (views: readonly UpstreamView[], limits: UpstreamLimits): number | undefined {
  const times = views.flatMap(({ upstream }) => limits.isLimited(upstream) ? [limits.expectedAt(upstream)] : [])
  return times.includes(undefined) ? undefined : firstOf(times)
}

function firstOf (times: readonly (number | undefined)[]): number | undefined {
  const known = times.flatMap(time => time === undefined ? [] : [time])
  return known.length === 0 ? undefined : Math.min(...known)
}
