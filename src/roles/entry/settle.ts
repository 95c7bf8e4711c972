/** What became of a request whose answer was lost: asks the agent, never guesses. */
import type { CallerRequest } from '../../core/caller-request.js'
import type { UpstreamView } from '../../core/routing.js'
import { createFailure, type Failure } from '../../errors.js'
import type { OutcomeReply, OutcomeRequest } from '../../transports/control.js'
import { waitUntil } from '../../utils/clock.js'
import type { AttemptResult } from './attempt-input.js'
import type { AnswerHost } from './host.js'

const askMilliseconds = 400
const againMilliseconds = 50
const mostSilences = 3
const retryMilliseconds = 1000
const suspicionMilliseconds = 60_000

/** How a lost request goes on. */
export type Settled =
  | { readonly kind: 'answer', readonly reply: OutcomeReply }
  | { readonly kind: 'elsewhere' }
  | { readonly kind: 'failed', readonly failure: Failure }

/** Settles a request that may have reached an agent. */
export async function settle (host: AnswerHost, caller: CallerRequest, upstream: UpstreamView, lost: Extract<AttemptResult, { kind: 'lost' }>, received: boolean): Promise<Settled> {
  if (lost.reason === 'crashed') noteCrash(host, caller, upstream)
  if (caller.nonIdempotent) return await settleByOutcome(host, caller, upstream.controlAddress, { requestId: caller.id, key: '', incarnation: upstream.status.incarnation }, upstream.status.incarnation)
  if (lost.reason === 'crashed' || lost.reason === 'wrong') return { kind: 'elsewhere' }
  const reply = await host.ask(upstream.controlAddress, { requestId: caller.id, key: '', incarnation: upstream.status.incarnation }, Date.now() + askMilliseconds)
  if (reply?.incarnation !== upstream.status.incarnation) host.quarantine.recordLoss(caller.fingerprint, Date.now() + suspicionMilliseconds)
  else if (lost.reason === 'cut' && received && reply.outcome === 'unknown') noteCrash(host, caller, upstream)
  if (reply?.outcome === 'run' && reply.status > 0 && caller.model === undefined) return { kind: 'answer', reply }
  return { kind: 'elsewhere' }
}

/** Asks again and again until the agent knows, cannot know, is gone, or the deadline has passed. Another incarnation than the one that got the request cannot say that it was not run. */
export async function settleByOutcome (host: AnswerHost, caller: CallerRequest, controlAddress: string, question: OutcomeRequest, incarnation?: string): Promise<Settled> {
  let silences = 0
  while (Date.now() < caller.deadline) {
    const reply = await host.ask(controlAddress, question, Math.min(caller.deadline, Date.now() + askMilliseconds))
    if (reply?.outcome === 'run') return reply.status > 0 ? { kind: 'answer', reply } : { kind: 'failed', failure: createFailure('outcome-pruned') }
    if (reply?.outcome === 'not-run' && (incarnation ?? reply.incarnation) === reply.incarnation) return { kind: 'elsewhere' }
    if (reply?.outcome === 'not-run' || reply?.outcome === 'unknown') return lostForGood()
    silences = reply === undefined ? silences + 1 : 0
    if (silences >= mostSilences) return lostForGood()
    await waitUntil(Math.min(caller.deadline, Date.now() + againMilliseconds))
  }
  return { kind: 'failed', failure: createFailure('deadline-passed', Date.now() + retryMilliseconds) }
}

function lostForGood (): Settled {
  return { kind: 'failed', failure: createFailure('upstream-lost', Date.now() + retryMilliseconds) }
}

/** Counts a crash as the agent itself will, under the same instance and incarnation. */
function noteCrash (host: AnswerHost, caller: CallerRequest, { status }: UpstreamView): void {
  const suspects = [{ fingerprint: caller.fingerprint, crashes: 1, until: Date.now() + suspicionMilliseconds }]
  host.quarantine.recordStatus({ instance: status.instance, incarnation: status.incarnation, suspects })
}
