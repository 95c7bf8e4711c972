/** Confirms the outcome `not-run` of a request with an idempotency key: it is reported only while no agent holds a claim of the key. */
import { claimKey } from '../../core/claims.js'
import type { Failure, FailureTag } from '../../errors.js'
import type { OutcomeReply } from '../../transports/control.js'
import type { AnswerHost } from './host.js'

const outcomeTimeoutMilliseconds = 300
/** Agents of the service that are asked for the key. */
const maximumAgents = 2

/** Failures that every attempt with the same request gets. */
const finalTags: ReadonlySet<FailureTag> = new Set(['malformed', 'too-large', 'unknown-service', 'unknown-organisation', 'key-reused'])

/** Service, operation, organisation and key that identify a request with an idempotency key. */
export interface KeyedRequest {
  readonly service: string
  readonly operation: string
  readonly organisation: string
  readonly idempotencyKey: string
}

/**
 * Failure to report to the caller. An earlier request with the same key may have run, so the outcome of a non-idempotent operation
 * becomes `unknown` unless an agent answers that the key was not run and none that it runs or ran.
 */
export async function confirmNotRun (host: AnswerHost, request: KeyedRequest, failure: Failure): Promise<Failure> {
  if (failure.outcome !== 'not-run' || finalTags.has(failure.tag) || !isNonIdempotent(host, request)) return failure
  const { organisation, service, operation, idempotencyKey } = request
  const key = claimKey(organisation, service, operation, idempotencyKey)
  const agents = host.upstreams.views.filter(view => view.status.service === service).slice(0, maximumAgents)
  const deadline = Date.now() + outcomeTimeoutMilliseconds
  const replies = await Promise.all(agents.map(async view => await host.queryOutcome(view.controlAddress, { requestId: '', key, incarnation: '' }, deadline)))
  return isUnclaimed(replies) ? failure : { ...failure, outcome: 'unknown' }
}

function isNonIdempotent (host: AnswerHost, { service, operation, idempotencyKey }: KeyedRequest): boolean {
  if (idempotencyKey === '') return false
  const { configuration } = host.state
  if (configuration === undefined) return true
  const known = Object.hasOwn(configuration.services, service) ? configuration.services[service] : undefined
  return known?.kind === 'plain' && known.nonIdempotent.includes(operation)
}

function isUnclaimed (replies: ReadonlyArray<OutcomeReply | undefined>): boolean {
  const outcomes = replies.flatMap(reply => reply?.outcome ?? [])
  return outcomes.includes('not-run') && !outcomes.includes('run') && !outcomes.includes('running')
}
