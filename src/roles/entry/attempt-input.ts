/** Input and result of an attempt, which is one request to one upstream. */
import type { ServerResponse } from 'node:http'
import type { AnswerProgress } from '../../core/answer-lines.js'
import type { CallerRequest } from '../../core/caller-request.js'
import type { UpstreamView } from '../../core/routing.js'
import type { Failure } from '../../errors.js'
import type { Priority } from '../../types/configuration.js'

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered' }
  /** The connection or the agent refused the request, or the agent reported its outcome. */
  | { readonly kind: 'failed', readonly failure: Failure, readonly claimHolder: string }
  /** The request may have reached the agent and the answer is incomplete or wrong. */
  | { readonly kind: 'lost', readonly reason: 'cut' | 'silent' | 'wrong' | 'crashed' }

/** Input of an attempt. */
export interface AttemptInput {
  readonly caller: CallerRequest
  /** Epoch milliseconds. */
  readonly receivedAt: number
  readonly priority: Priority
  /** Class of the caller's organisation, for metrics. */
  readonly organisationClass: string
  readonly upstream: UpstreamView
  /** Whether the request may have crashed an upstream and must run alone. */
  readonly suspect: boolean
  readonly traceParent: string
  readonly response: ServerResponse
  /** Aborts at the deadline, and for an idempotent operation also when the caller disconnects. */
  readonly signal: AbortSignal
  readonly tracker: AnswerTracker
}

/** Progress of one answer across its attempts. */
export class AnswerTracker {
  /** Epoch milliseconds at which tokens last arrived, 0 before the first. */
  lastAt = 0

  constructor (public progress: AnswerProgress) {}
}
