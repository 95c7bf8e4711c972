/** How long an entry waits for a silent upstream before it sends a repeatable request to another one as well. */
import type { Route } from '../../types/fleet.js'
import { isRepeatable } from './next-step.js'

/** Time without an event after which a stream counts as silent and another upstream may resume it, milliseconds; callers abandon a stream after 2 s. */
export const streamInactivityTimeoutMilliseconds = 1300
/** Time without an answer after which an idempotent request is sent to another upstream as well, in latency goals of its route. */
const answerStartGoals = 2
/** Shortest such time, milliseconds: a round trip between regions and a short queue. */
const minimumAnswerStartMilliseconds = 250

/**
 * Time at which a call without a head or first event counts as silent, milliseconds of the monotonic clock. It is the
 * request's own `deadline` where no other upstream may run the request after this one; `ran` others may have run it.
 */
export function answerStartDeadline (route: Route, ran: number, now: number, deadline: number): number {
  if (!isRepeatable(route) || ran + 1 >= route.maximumUpstreams) return deadline
  if (route.kind === 'stream') return Math.min(deadline, now + streamInactivityTimeoutMilliseconds)
  return Math.min(deadline, now + Math.max(minimumAnswerStartMilliseconds, answerStartGoals * route.latencyGoalMilliseconds))
}
