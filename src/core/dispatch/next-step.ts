/** What follows a call that did not answer the caller: another upstream, or which failure. */
import type { FailureTag } from '../../errors.js'
import type { Route } from '../../types/fleet.js'

/** A request after some calls. */
export interface RequestProgress {
  readonly route: Route
  /** Upstreams that may have begun to run it. */
  readonly ran: number
  /** Upstreams that certainly did not run it. */
  readonly refused: number
  /** Whether part of a stream went to the caller. */
  readonly hasBegun: boolean
  readonly isPastDeadline: boolean
  /** Whether the shared budget allows one more repeat. */
  readonly hasBudget: boolean
}

/** The next step; a failure states truthfully whether the request may have run. */
export type NextStep =
  | { readonly kind: 'resend' }
  | { readonly kind: 'fail', readonly tag: FailureTag }

/** Refusals by upstreams after which no other one is asked. */
const maximumRefusals = 3

/** Decides after a call that ended without an answer for the caller. */
export function nextStep (progress: RequestProgress): NextStep {
  const mayHaveRun = progress.ran > 0
  if (progress.isPastDeadline) return { kind: 'fail', tag: mayHaveRun ? 'deadline-passed' : 'out-of-time' }
  if (mayHaveRun && !isRepeatable(progress.route)) return { kind: 'fail', tag: 'upstream-lost' }
  const isSpent = progress.ran >= progress.route.mostUpstreams || progress.refused >= maximumRefusals || !progress.hasBudget
  if (isSpent) return { kind: 'fail', tag: mayHaveRun ? 'upstream-lost' : 'busy' }
  return { kind: 'resend' }
}

/** Whether a request of a route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable)
}
