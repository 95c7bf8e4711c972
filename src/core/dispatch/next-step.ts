/** Decision after a call that gave the caller no complete answer: send the request to another upstream, or fail it. */
import type { FailureTag } from '../../errors.js'
import type { Route } from '../../types/fleet.js'

/** State of a request after some calls. */
export interface RequestProgress {
  readonly route: Route
  /** Upstreams that may have started to run it. */
  readonly ran: number
  /** Upstreams from which it was withdrawn before its answer began. They may have run it: one that hangs or is slow has begun without an event. */
  readonly withdrawn: number
  /** Calls whose upstream certainly did not run it, since the last answer to another request. */
  readonly refused: number
  /** Whether a call received the answer to another request. */
  readonly hasForeignAnswer?: boolean
  /** Whether part of a stream was sent to the caller. */
  readonly hasBegun: boolean
  readonly isPastDeadline: boolean
  /** Whether the shared retry budget allows one more retry. */
  readonly hasBudget: boolean
}

/** What to do next; the tag of a failure says whether the request may have run. */
export type NextStep =
  | { readonly kind: 'resend' }
  | { readonly kind: 'fail', readonly tag: FailureTag }

/**
 * Refusals after which a request fails. One that received the answer to another request has as many as a request and its
 * caller's retry have together: its caller cannot be told that it was not run, and so does not retry it.
 */
const maximumRefusals = { usual: 3, afterForeignAnswer: 6 } as const

/** Upstreams that may have run the request, by which its attempts are bounded. */
export function countAttempts ({ ran, withdrawn }: Pick<RequestProgress, 'ran' | 'withdrawn'>): number {
  return ran + withdrawn
}

/** Step after a call that ended without a complete answer. */
export function nextStep (progress: RequestProgress): NextStep {
  const attempts = countAttempts(progress)
  const mayHaveRun = attempts > 0
  if (progress.isPastDeadline) return { kind: 'fail', tag: mayHaveRun ? 'deadline-passed' : 'out-of-time' }
  if (mayHaveRun && !isRepeatable(progress.route)) return { kind: 'fail', tag: 'upstream-lost' }
  const maximumRefused = progress.hasForeignAnswer === true ? maximumRefusals.afterForeignAnswer : maximumRefusals.usual
  const isExhausted = attempts >= progress.route.maximumUpstreams || progress.refused >= maximumRefused || !progress.hasBudget
  if (isExhausted) return { kind: 'fail', tag: mayHaveRun ? 'upstream-lost' : 'busy' }
  return { kind: 'resend' }
}

/** Whether a request of a route may run more than once: idempotent ones, and streams that can be resumed. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable)
}
