/** How long an entry waits for an upstream that says nothing, before it sends a repeatable request elsewhere. */
import type { Route } from '../../types/fleet.js'
import { isRepeatable } from './next-step.js'

/** Silence of a stream after which it goes on elsewhere, milliseconds: callers leave after two seconds. */
export const streamInactivityTimeoutMilliseconds = 1300
/** Silence of an upstream after which an idempotent request goes to another, in goals of its route. */
const answerStartGoals = 2
/** The same at least, milliseconds: a round trip between regions and a short queue. */
const minimumAnswerStartMilliseconds = 250

/** Steady milliseconds by which the answer's head or first event must have come; `ran` upstreams may have run the request before. */
export function answerStartDeadline (route: Route, ran: number, now: number, deadline: number): number {
  if (!isRepeatable(route) || ran + 1 >= route.mostUpstreams) return deadline
  if (route.kind === 'stream') return Math.min(deadline, now + streamInactivityTimeoutMilliseconds)
  return Math.min(deadline, now + Math.max(minimumAnswerStartMilliseconds, answerStartGoals * route.goalMilliseconds))
}
