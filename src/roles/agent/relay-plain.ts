/** Relays requests to a plain service; a non-idempotent request runs at most once, under a claim of its key. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure, type Failure } from '../../errors.js'
import { sendFailure } from '../../transports/http-server.js'
import { sendRequest, TransportError } from '../../transports/http-client.js'
import { headers } from '../../types/messages.js'
import { waitUntil } from '../../utils/clock.js'
import type { AdmittedRequest } from './admission.js'
import type { ClaimResult, HeldClaim } from './claims.js'
import type { VerifiedConnection } from './connections.js'
import type { Run, RunResult, StoredAnswer } from './outcomes.js'
import { refusalBeforeSend, reserveConnection, abortSignalOf, upstreamHeaders, type RelayHost } from './relay-host.js'
import type { RunRequest } from './run-request.js'

const retryDelayMilliseconds = 500
/** Time for the log to decide a claim. */
const claimTimeoutMilliseconds = 3000
/** Time after its deadline in which the answer to a claimed request is still read, so that its outcome becomes known. */
const answerGraceMilliseconds = 10_000
const maximumAnswerBytes = 8 << 20

/**
 * Answers a request whose key was claimed before, by this agent or another; undefined when no claim is known.
 * Called before the deadline and the agent's state are checked: those refusals say `not-run`, which may be false for a claimed key.
 */
export async function replyToKnownKey (host: RelayHost, request: RunRequest, response: ServerResponse): Promise<{ readonly failure: Failure | undefined } | undefined> {
  if (request.claimKey === '') return undefined
  const run = host.outcomes.findByKey(request.claimKey)
  if (run !== undefined) return { failure: await awaitSameKey(run, request, response) }
  const known = host.claims.knownClaim(request.claimKey, request.content)
  if (known === undefined) return undefined
  const lost = claimFailure(known)
  if (lost.claimHolder !== '') response.setHeader(headers.claimHolder, lost.claimHolder)
  return { failure: refuse(response, request, lost.failure) }
}

/** Relays one request; resolves with the failure sent to the entry, if any. */
export async function relayPlain (host: RelayHost, request: RunRequest, response: ServerResponse): Promise<Failure | undefined> {
  const run = host.outcomes.start(request.id, request.claimKey, request.content, request.deadline)
  if (run === undefined) return refuse(response, request, createFailure('late-deadline', Date.now() + retryDelayMilliseconds))
  const admission = host.admission.run(request.admissionRequest, abortSignalOf(response), async admitted => {
    host.outcomes.resolve(run, await claimAndSend(host, request, admitted))
  })
  const resolving = admission.then(failure => {
    host.outcomes.resolve(run, { kind: 'failure', failure: failure ?? createFailure('upstream-lost'), claimHolder: '' })
  }, () => { host.outcomes.resolve(run, lostResult()) })
  await waitUntilDeadline(Promise.race([resolving, run.resolved]), request.deadline)
  return reply(run, request, response)
}

/** Waits for the run of the same key and answers with its result. */
async function awaitSameKey (run: Run, request: RunRequest, response: ServerResponse): Promise<Failure | undefined> {
  if (run.content !== request.content) return refuse(response, request, createFailure('key-reused'))
  await waitUntilDeadline(run.resolved, request.deadline)
  return reply(run, request, response)
}

async function waitUntilDeadline (settled: Promise<void>, deadline: number): Promise<void> {
  const done = new AbortController()
  await Promise.race([settled, waitUntil(deadline, done.signal)])
  done.abort()
}

function reply (run: Run, request: RunRequest, response: ServerResponse): Failure | undefined {
  const { result } = run
  if (result === undefined) return refuse(response, request, createFailure('deadline-passed', Date.now() + retryDelayMilliseconds))
  if (result.kind === 'streamed' || run.isPruned) return refuse(response, request, createFailure('outcome-pruned'))
  if (result.kind === 'failure') {
    if (result.claimHolder !== '' && !response.headersSent) response.setHeader(headers.claimHolder, result.claimHolder)
    return refuse(response, request, result.failure)
  }
  const { status, contentType, body } = result.answer
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length, [headers.requestId]: request.id, [headers.outcome]: 'run' })
  response.end(body)
  return undefined
}

function refuse (response: ServerResponse, request: RunRequest, failure: Failure): Failure {
  sendFailure(response, request.id, failure)
  return failure
}

/** Reserves a connection, claims the key and sends the request; after the claim, the checks are repeated just before the first byte. */
async function claimAndSend (host: RelayHost, request: RunRequest, admitted: AdmittedRequest): Promise<RunResult> {
  const connection = await reserveConnection(host, admitted, request)
  if ('tag' in connection) return { kind: 'failure', failure: connection, claimHolder: '' }
  const claim = request.claimKey === '' ? undefined : await host.claims.claim(request.claimKey, request.content, Math.min(request.deadline, Date.now() + claimTimeoutMilliseconds))
  if (claim !== undefined && claim.kind !== 'held') {
    host.connections.release(connection)
    return claimFailure(claim)
  }
  const refusal = refusalBeforeSend(host, request, connection)
  if (refusal !== undefined || claim?.claim.markSent() === false) {
    claim?.claim.release()
    host.connections.release(connection)
    return { kind: 'failure', failure: refusal ?? createFailure('log-unavailable', Date.now() + retryDelayMilliseconds), claimHolder: '' }
  }
  return await send(host, request, admitted, connection, claim?.claim)
}

function claimFailure (claim: Exclude<ClaimResult, { kind: 'held' }>): Extract<RunResult, { kind: 'failure' }> {
  const retryAt = Date.now() + retryDelayMilliseconds
  if (claim.kind === 'unavailable') return { kind: 'failure', failure: createFailure('log-unavailable', retryAt), claimHolder: '' }
  if (claim.kind === 'reused') return { kind: 'failure', failure: createFailure('key-reused'), claimHolder: '' }
  return { kind: 'failure', failure: createFailure('claim-lost', retryAt), claimHolder: claim.holder.address }
}

async function send (host: RelayHost, request: RunRequest, admitted: AdmittedRequest, connection: VerifiedConnection, claim: HeldClaim | undefined): Promise<RunResult> {
  const startedAt = Date.now()
  admitted.sentAt = startedAt
  const deadline = claim === undefined ? request.deadline : request.deadline + answerGraceMilliseconds
  try {
    const answer = await sendRequest({
      url: `${host.upstream}/run/${request.operation}`,
      method: 'POST',
      agent: connection.agent,
      headers: upstreamHeaders(request, request.body),
      body: request.body,
      deadline
    })
    admitted.hasAnswerStarted = true
    const firstByte = Date.now() - startedAt
    const stored = await readAnswer(answer, request.id, deadline)
    host.connections.release(connection)
    host.admission.recordAnswer(admitted, firstByte, Date.now() - startedAt)
    host.metrics.observe('first_byte_milliseconds', {}, firstByte)
    return { kind: 'answer', answer: stored }
  } catch (error) {
    const timedOut = Date.now() >= deadline
    host.connections.discard(connection)
    if (error instanceof TransportError && !error.sent && claim === undefined) return { kind: 'failure', failure: createFailure('upstream-refused', Date.now() + retryDelayMilliseconds), claimHolder: '' }
    if (timedOut) host.admission.recordAbandoned(connection.incarnation)
    else host.connectionLost(connection, request.admissionRequest.fingerprint)
    if (error instanceof WrongAnswerError) return { kind: 'failure', failure: createFailure('wrong-answer', Date.now() + retryDelayMilliseconds), claimHolder: '' }
    return timedOut ? { kind: 'failure', failure: createFailure('deadline-passed', Date.now() + retryDelayMilliseconds), claimHolder: '' } : lostResult()
  }
}

function lostResult (): RunResult {
  return { kind: 'failure', failure: createFailure('upstream-lost', Date.now() + retryDelayMilliseconds), claimHolder: '' }
}

/** An answer to another request, without an explicit end, or too large. */
class WrongAnswerError extends Error {}

/** Reads a complete answer; throws `WrongAnswerError` for an answer without an explicit end, with another request id, or too large. */
async function readAnswer (answer: IncomingMessage, id: string, deadline: number): Promise<StoredAnswer> {
  const echoed = answer.headers[headers.requestId]
  const hasEnd = answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined || answer.statusCode === 204
  if ((echoed !== undefined && echoed !== id) || !hasEnd) throw new WrongAnswerError('the answer belongs to another request or has no explicit end')
  const parts: Buffer[] = []
  let size = 0
  const timer = setTimeout(() => { answer.destroy(new Error('the answer did not end before the deadline')) }, Math.max(0, deadline - Date.now()))
  try {
    for await (const part of answer) {
      size += (part as Buffer).length
      if (size > maximumAnswerBytes) throw new WrongAnswerError('the answer is too large')
      parts.push(part as Buffer)
    }
  } finally {
    clearTimeout(timer)
  }
  if (!answer.complete) throw new Error('the answer was truncated')
  return { status: answer.statusCode ?? 502, contentType: answer.headers['content-type'] ?? 'application/octet-stream', body: Buffer.concat(parts) }
}
