/** Answers a caller's request with the complete answer or a failure and its outcome. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { checkRequest, isRefused, type CallerRequest } from '../../core/caller-request.js'
import { addRetryJitter } from '../../core/retry.js'
import { createFailure, type Failure, type Finding } from '../../errors.js'
import { startHop } from '../../plugins/tracing.js'
import { headerOf, readBody, sendFailure } from '../../transports/http-server.js'
import type { Configuration, Organisation } from '../../types/configuration.js'
import { headers } from '../../types/messages.js'
import type { AnswerHost } from './host.js'
import { confirmNotRun } from './confirm-not-run.js'
import { serve } from './serve.js'
import { formatLine } from './stream.js'

/** Delay that callers are told before they retry a request that this entry refuses. */
const retryDelayMilliseconds = 500

/** A checked request with its configuration and organisation. */
interface AcceptedRequest {
  readonly caller: CallerRequest
  readonly configuration: Configuration
  readonly organisation: Organisation
}

/** Handles `POST /services/SERVICE/OPERATION`; records the request in the journal and in the metrics. */
export async function answerCaller (host: AnswerHost, request: IncomingMessage, response: ServerResponse, service: string, operation: string): Promise<void> {
  const id = randomUUID()
  const receivedAt = Date.now()
  const body = await readBody(request, host.settings.bodyBytes)
  const accepted = body === undefined ? createFailure('too-large') : accept(host, request, { id, service, operation, body }, receivedAt)
  if (isFailure(accepted)) {
    if (accepted.tag === 'too-large') response.setHeader('connection', 'close')
    const keyed = { service, operation, organisation: headerOf(request, headers.organisation), idempotencyKey: headerOf(request, headers.idempotencyKey) }
    finish(host, response, { id, service, receivedAt, organisations: 'none' }, await confirmNotRun(host, keyed, accepted))
    return
  }
  await answer(host, response, accepted, receivedAt)
}

async function answer (host: AnswerHost, response: ServerResponse, accepted: AcceptedRequest, receivedAt: number): Promise<void> {
  const { caller, organisation } = accepted
  const { id, service, operation, deadline } = caller
  const hop = startHop('entry', caller.traceParent, { request: id, service, operation, organisation: caller.organisation })
  host.journal.open({ id, service, operation, organisation: caller.organisation, receivedAt, deadline })
  const cancellation = new AbortController()
  const timer = setTimeout(() => { cancellation.abort() }, Math.max(0, deadline - Date.now()))
  const cancelIfUnfinished = (): void => { if (!caller.nonIdempotent && !response.writableFinished) cancellation.abort() }
  response.once('close', cancelIfUnfinished)
  try {
    const failure = await serve(host, { ...accepted, receivedAt, response, traceParent: hop.traceParent, signal: cancellation.signal })
    hop.end(failure?.tag)
    const reported = failure === undefined ? undefined : await confirmNotRun(host, caller, failure)
    finish(host, response, { id, service, receivedAt, organisations: organisation.priority }, reported)
  } finally {
    clearTimeout(timer)
    response.removeListener('close', cancelIfUnfinished)
  }
}

/** Checks a request against the configuration in force; returns a failure when it is refused. `now` in epoch milliseconds. */
function accept (host: AnswerHost, request: IncomingMessage, raw: { readonly id: string, readonly service: string, readonly operation: string, readonly body: Buffer }, now: number): AcceptedRequest | Failure {
  const retryAt = addRetryJitter(now + retryDelayMilliseconds, raw.id)
  const { configuration } = host.state
  if (configuration === undefined) return createFailure('no-configuration', retryAt)
  if (!host.mayTakeWork) return createFailure('isolated', retryAt)
  const service = ownProperty(configuration.services, raw.service)
  if (service === undefined) return createFailure('unknown-service')
  const name = headerOf(request, headers.organisation)
  const checked = checkRequest({
    ...raw,
    organisation: name,
    deadline: headerOf(request, headers.deadline),
    idempotencyKey: headerOf(request, headers.idempotencyKey),
    prefix: headerOf(request, headers.prefix),
    traceParent: headerOf(request, headers.traceParent)
  }, { service, now, defaultDeadline: now + host.settings.requestMilliseconds })
  if (isRefused(checked)) return malformedFailure(checked)
  const organisation = ownProperty(configuration.organisations, name)
  if (organisation === undefined) return createFailure('unknown-organisation')
  if (!host.firstByteTracker.canMeet(checked.service, checked.deadline, now)) return createFailure('late-deadline', retryAt)
  const status = host.quarantine.statusOf(checked.fingerprint, now)
  if (status.kind === 'quarantined') return createFailure('quarantined', status.until)
  return { caller: checked, configuration, organisation }
}

function malformedFailure (findings: readonly Finding[]): Failure {
  return { ...createFailure('malformed'), text: findings.map(({ place, problem }) => `${place}: ${problem}`).join('; ') }
}

function finish (host: AnswerHost, response: ServerResponse, summary: { readonly id: string, readonly service: string, readonly receivedAt: number, readonly organisations: string }, failure: Failure | undefined): void {
  const labels = { service: failure?.tag === 'unknown-service' ? 'none' : summary.service, organisations: summary.organisations }
  host.metrics.count('requests_total', { ...labels, outcome: failure?.outcome ?? 'run', failure: failure?.tag ?? 'none' })
  host.metrics.observe('answer_milliseconds', { ...labels, whole: String(failure === undefined) }, Date.now() - summary.receivedAt)
  host.journal.close(summary.id, failure?.outcome ?? 'run', failure?.tag ?? '')
  if (failure === undefined || response.destroyed) return
  if (!response.headersSent) sendFailure(response, summary.id, failure)
  else response.end(formatLine({ type: 'failure', id: summary.id, failure: failure.tag, outcome: failure.outcome, retryAt: failure.retryAt }))
}

function ownProperty<Value> (record: Readonly<Record<string, Value>>, name: string): Value | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined
}

function isFailure (result: AcceptedRequest | Failure): result is Failure {
  return 'tag' in result
}
