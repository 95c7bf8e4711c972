/** Truth of a refusal that carries a key: "not run" is only said of a key that nobody has claimed. */
import { claimKey } from '../../core/claims.js'
import type { Failure, FailureTag } from '../../errors.js'
import type { OutcomeReply } from '../../transports/control.js'
import type { AnswerHost } from './host.js'

const outcomeTimeoutMilliseconds = 300
const maximumAgents = 2

/** Refusals that hold for every sending of the request. */
const finalTags: ReadonlySet<FailureTag> = new Set(['malformed', 'too-large', 'unknown-service', 'unknown-organisation', 'key-reused'])

/** What names the key of a request. */
export interface KeyedRequest {
  readonly service: string
  readonly operation: string
  readonly organisation: string
  readonly idempotencyKey: string
}

/** The failure as it may be told: an earlier sending of the same key may have run, and then this one's "not run" would mislead. */
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
