/** Sends one request to one upstream, supervises the wait for its answer, and forwards the answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure, isFailureTag, type Failure, type FailureTag } from '../../errors.js'
import { headerOf } from '../../transports/http-server.js'
import { readAll, sendRequest, TransportError } from '../../transports/http-client.js'
import { priorities } from '../../types/configuration.js'
import { headers, type Outcome } from '../../types/messages.js'
import type { EngineRequest } from '../../types/platform.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { AttemptInput, AttemptResult } from './attempt-input.js'
import type { AnswerHost } from './host.js'
import { forwardTokens } from './stream.js'

const log = logFor('entry')
/** Limit of a failure's body; a larger one is not read, and no retry time is taken from it. */
const maximumRefusalBytes = 4096
/** Largest answer of a plain service, bytes; agents refuse larger ones. */
const maximumPlainAnswerBytes = 8 << 20
const refusalTimeoutMilliseconds = 1000
const outcomeTimeoutMilliseconds = 400
/** Consecutive replies other than `running`, or missing replies, after which even a non-idempotent request is abandoned. */
const maximumDenials = 2
/** Progress timeouts that the first byte of a model's answer may take while its agent reports the request as running, as it may be queued there. */
const firstByteTimeoutFactor = 3

/** Failures after which the request may or may not have run; an idempotent request may be sent to another upstream. */
const lostTags: ReadonlySet<FailureTag> = new Set(['upstream-lost', 'upstream-refused', 'wrong-answer'])

/** Sends the request to one upstream and forwards its answer to the caller. */
export async function attempt (host: AnswerHost, input: AttemptInput): Promise<AttemptResult> {
  const ended = host.upstreams.recordSent(input.upstream.controlAddress)
  const started = new AbortController()
  const abandoned = new AbortController()
  const stop = (): void => { abandoned.abort() }
  input.signal.addEventListener('abort', stop, { once: true })
  try {
    const supervision = superviseFirstByte(host, input, started.signal, stop)
    const answer = await send(input, abandoned.signal)
    const result = await handleAnswer(host, input, answer, () => { if (!started.signal.aborted) started.abort() })
    started.abort()
    await supervision
    return result
  } catch (error) {
    if (error instanceof TransportError && !error.sent) return refused('upstream-refused')
    return { kind: 'lost', reason: abandoned.signal.aborted ? 'silent' : 'cut' }
  } finally {
    started.abort()
    input.signal.removeEventListener('abort', stop)
    ended()
  }
}

async function send (input: AttemptInput, signal: AbortSignal): Promise<IncomingMessage> {
  const { caller, upstream } = input
  const body = bodyFor(input)
  return await sendRequest({
    url: `http://${upstream.status.address}/run/${caller.operation}`,
    method: 'POST',
    headers: {
      [headers.requestId]: caller.id,
      [headers.organisation]: caller.organisation,
      [headers.priority]: input.priority,
      [headers.deadline]: String(caller.deadline),
      [headers.weights]: upstream.status.weights,
      [headers.fingerprint]: caller.fingerprint,
      [headers.resumeFrom]: String(input.tracker.progress.next),
      ...(input.suspect ? { [headers.suspect]: '1' } : {}),
      ...(caller.idempotencyKey === '' ? {} : { [headers.idempotencyKey]: caller.idempotencyKey }),
      ...(caller.prefix === '' ? {} : { [headers.prefix]: caller.prefix }),
      ...(input.traceParent === '' ? {} : { [headers.traceParent]: input.traceParent }),
      'content-type': 'application/json',
      'content-length': body.length
    },
    body,
    deadline: caller.deadline,
    signal
  })
}

function bodyFor (input: AttemptInput): Buffer {
  const { caller, priority, tracker: { progress } } = input
  if (caller.model === undefined) return caller.body
  const { prompt, maximumTokens } = caller.model
  const request: EngineRequest = { id: caller.id, prompt, maximumTokens, priority: priorities.indexOf(priority), resumeFrom: progress.next }
  return Buffer.from(JSON.stringify(request))
}

async function handleAnswer (host: AnswerHost, input: AttemptInput, answer: IncomingMessage, onStarted: () => void): Promise<AttemptResult> {
  const tag = headerOf(answer, headers.failure)
  if (isFailureTag(tag)) return await handleFailure(answer, tag)
  if (headerOf(answer, headers.requestId) !== input.caller.id) return abandon(answer, 'wrong')
  if (headerOf(answer, headers.outcome) === 'not-run') {
    answer.destroy()
    return refused('upstream-refused')
  }
  if (input.caller.model === undefined) return await forwardPlainAnswer(input, answer, onStarted)
  if (answer.statusCode !== 200 || headerOf(answer, headers.weights) !== input.tracker.progress.weights) return abandon(answer, 'wrong')
  return await forwardTokens(host, input, answer, onStarted)
}

async function handleFailure (answer: IncomingMessage, tag: Failure['tag']): Promise<AttemptResult> {
  const outcome = headerOf(answer, headers.outcome)
  const claimHolder = headerOf(answer, headers.claimHolder)
  const failure = createFailure(tag, await readRetryAt(answer), isOutcome(outcome) ? outcome : undefined)
  if (failure.outcome === 'unknown' && lostTags.has(tag)) return { kind: 'lost', reason: tag === 'upstream-lost' ? 'crashed' : 'wrong' }
  return { kind: 'failed', failure, claimHolder }
}

/** Time from which the request may be retried, as the failure's body states it, epoch milliseconds; 0 for none. */
async function readRetryAt (answer: IncomingMessage): Promise<number> {
  if (Number(headerOf(answer, 'content-length')) > maximumRefusalBytes) {
    answer.destroy()
    return 0
  }
  try {
    const body = JSON.parse((await readAll(answer, Date.now() + refusalTimeoutMilliseconds, maximumRefusalBytes)).toString('utf8')) as { retryAt?: unknown }
    return typeof body.retryAt === 'number' ? body.retryAt : 0
  } catch {
    return 0
  }
}

async function forwardPlainAnswer (input: AttemptInput, answer: IncomingMessage, onStarted: () => void): Promise<AttemptResult> {
  const { caller, response, upstream } = input
  const body = await readAll(answer, caller.deadline, maximumPlainAnswerBytes)
  onStarted()
  sendPlainAnswer(response, caller.id, { status: answer.statusCode ?? 502, contentType: answer.headers['content-type'], body }, upstream.status.instance)
  return { kind: 'answered' }
}

/** Complete answer of a plain service. */
export interface PlainAnswer { readonly status: number, readonly contentType: string | undefined, readonly body: Buffer }

/** Sends the complete answer of a plain service to the caller; `instance` is the one that ran the request. */
export function sendPlainAnswer (response: ServerResponse, id: string, answer: PlainAnswer, instance: string): void {
  response.writeHead(answer.status, {
    'content-type': answer.contentType ?? 'application/json',
    'content-length': answer.body.length,
    [headers.requestId]: id,
    [headers.outcome]: 'run',
    [headers.instance]: instance
  })
  response.end(answer.body)
}

/**
 * Asks the agent over another connection whether the request runs, until a model's answer starts or a plain service's answer is
 * complete. Abandons the attempt when the agent does not report it as running: an idempotent one at the first such reply, any other
 * after `maximumDenials`. An idempotent model request is also abandoned after `firstByteTimeoutFactor` progress timeouts.
 */
async function superviseFirstByte (host: AnswerHost, input: AttemptInput, started: AbortSignal, abandonAttempt: () => void): Promise<void> {
  const { caller, upstream } = input
  const firstByteDeadline = Date.now() + firstByteTimeoutFactor * host.settings.progressMilliseconds
  let denials = 0
  while (!started.aborted) {
    await waitUntil(Date.now() + host.settings.questionMilliseconds, started)
    if (started.aborted) return
    const askedAt = Date.now()
    const reply = await host.queryOutcome(upstream.controlAddress, { requestId: caller.id, key: '', incarnation: upstream.status.incarnation }, askedAt + outcomeTimeoutMilliseconds)
    if (started.aborted) return
    denials = reply?.outcome === 'running' ? 0 : denials + 1
    const isOverdue = !caller.nonIdempotent && caller.model !== undefined && Date.now() > firstByteDeadline
    if (denials >= maximumDenials || isOverdue || (denials > 0 && !caller.nonIdempotent)) {
      log.warn('attempt abandoned before its first byte', { request: caller.id, instance: upstream.status.instance, outcome: reply?.outcome ?? 'no reply', queryMilliseconds: Date.now() - askedAt, denials, isOverdue })
      abandonAttempt()
      return
    }
  }
}

function refused (tag: Failure['tag']): AttemptResult {
  return { kind: 'failed', failure: createFailure(tag, 0, 'not-run'), claimHolder: '' }
}

function abandon (answer: IncomingMessage, reason: 'wrong'): AttemptResult {
  answer.destroy()
  return { kind: 'lost', reason }
}

function isOutcome (text: string): text is Outcome {
  return text === 'not-run' || text === 'run' || text === 'unknown'
}
