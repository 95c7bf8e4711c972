/** Resolves the outcome of a request whose answer was lost by asking the agent. */
import type { CallerRequest } from '../../core/caller-request.js'
import type { UpstreamView } from '../../core/routing.js'
import { createFailure, type Failure } from '../../errors.js'
import type { OutcomeReply, OutcomeRequest } from '../../transports/control.js'
import { waitUntil } from '../../utils/clock.js'
import type { AttemptResult } from './attempt-input.js'
import type { AnswerHost } from './host.js'

const outcomeTimeoutMilliseconds = 400
/** Pause between two queries while the outcome is not known yet. */
const outcomePollMilliseconds = 50
/** Consecutive unanswered queries after which the agent counts as lost. */
const maximumUnansweredQueries = 3
/** Delay until the caller may retry a request whose outcome stays unknown. */
const retryDelayMilliseconds = 1000
/** How long a crash that this entry observed counts. */
const suspicionMilliseconds = 60_000

/** How a lost request continues: its stored answer, another upstream (`mayHaveRun` unless its agent knows that it did not run), or a failure. */
export type Resolution =
  | { readonly kind: 'answer', readonly reply: OutcomeReply }
  | { readonly kind: 'elsewhere', readonly mayHaveRun: boolean }
  | { readonly kind: 'failed', readonly failure: Failure }

/** Resolves the outcome of a request that may have reached an agent; `received` tells whether a token was forwarded. Records a crash or the loss of the instance. */
export async function resolveLostRequest (host: AnswerHost, caller: CallerRequest, upstream: UpstreamView, lost: Extract<AttemptResult, { kind: 'lost' }>, received: boolean): Promise<Resolution> {
  if (lost.reason === 'crashed') recordCrash(host, caller, upstream)
  if (caller.nonIdempotent) return await resolveByOutcome(host, caller, upstream.controlAddress, { requestId: caller.id, key: '', incarnation: upstream.status.incarnation }, upstream.status.incarnation)
  if (lost.reason === 'crashed' || lost.reason === 'wrong') return { kind: 'elsewhere', mayHaveRun: true }
  const reply = await host.queryOutcome(upstream.controlAddress, { requestId: caller.id, key: '', incarnation: upstream.status.incarnation }, Date.now() + outcomeTimeoutMilliseconds)
  if (reply?.incarnation !== upstream.status.incarnation) host.quarantine.recordLoss(caller.fingerprint, Date.now() + suspicionMilliseconds)
  else if (lost.reason === 'cut' && received && reply.outcome === 'unknown') recordCrash(host, caller, upstream)
  if (reply?.outcome === 'run' && reply.status > 0 && caller.model === undefined) return { kind: 'answer', reply }
  const isKnownNotRun = !received && reply?.outcome === 'not-run' && reply.incarnation === upstream.status.incarnation
  return { kind: 'elsewhere', mayHaveRun: !isKnownNotRun }
}

/**
 * Queries the agent until it knows the outcome, cannot know it, counts as lost, or the deadline has passed. With `incarnation`, the one
 * that received the request, a `not-run` of another incarnation is not believed, as that one has no record of earlier requests.
 */
export async function resolveByOutcome (host: AnswerHost, caller: CallerRequest, controlAddress: string, question: OutcomeRequest, incarnation?: string): Promise<Resolution> {
  let unanswered = 0
  while (Date.now() < caller.deadline) {
    const reply = await host.queryOutcome(controlAddress, question, Math.min(caller.deadline, Date.now() + outcomeTimeoutMilliseconds))
    if (reply?.outcome === 'run') return reply.status > 0 ? { kind: 'answer', reply } : { kind: 'failed', failure: createFailure('outcome-pruned') }
    if (reply?.outcome === 'not-run' && (incarnation ?? reply.incarnation) === reply.incarnation) return { kind: 'elsewhere', mayHaveRun: false }
    if (reply?.outcome === 'not-run' || reply?.outcome === 'unknown') return unresolved()
    unanswered = reply === undefined ? unanswered + 1 : 0
    if (unanswered >= maximumUnansweredQueries) return unresolved()
    await waitUntil(Math.min(caller.deadline, Date.now() + outcomePollMilliseconds))
  }
  return { kind: 'failed', failure: createFailure('deadline-passed', Date.now() + retryDelayMilliseconds) }
}

function unresolved (): Resolution {
  return { kind: 'failed', failure: createFailure('upstream-lost', Date.now() + retryDelayMilliseconds) }
}

/** Records a crash under the agent's instance and incarnation, so that the agent's own report of it is not counted twice. */
function recordCrash (host: AnswerHost, caller: CallerRequest, { status }: UpstreamView): void {
  const suspects = [{ fingerprint: caller.fingerprint, crashes: 1, until: Date.now() + suspicionMilliseconds }]
  host.quarantine.recordStatus({ instance: status.instance, incarnation: status.incarnation, suspects })
}
