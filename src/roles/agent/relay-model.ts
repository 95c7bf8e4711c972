/** Relays requests to a model engine and its tokens to the entry; after a broken connection the answer resumes on the same weights and incarnation. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { z } from 'zod'
import { createFailure, type Failure } from '../../errors.js'
import { readAll, sendRequest, TransportError } from '../../transports/http-client.js'
import { sendFailure } from '../../transports/http-server.js'
import { headers } from '../../types/messages.js'
import type { EngineRequest } from '../../types/platform.js'
import { logFor } from '../../utils/log.js'
import type { AdmittedRequest } from './admission.js'
import type { VerifiedConnection } from './connections.js'
import { checkLine, readLineGroups, UnexpectedLineError } from './engine-stream.js'
import type { RunResult } from './outcomes.js'
import { refusalBeforeSend, refusalOf, reserveConnection, abortSignalOf, upstreamHeaders, type RelayHost } from './relay-host.js'
import type { RunRequest } from './run-request.js'

const log = logFor('agent')
const retryDelayMilliseconds = 500
/** Time for the engine to confirm a cancellation. */
const cancelTimeoutMilliseconds = 2000
/** Largest confirmation of a cancellation, bytes. */
const maximumConfirmationBytes = 65_536
const maximumResumes = 3

const bodySchema = z.object({
  prompt: z.string(),
  maximumTokens: z.number().int().nonnegative(),
  priority: z.number().int().default(0),
  resumeFrom: z.number().int().nonnegative().default(0)
})

/** Relays one request; resolves with the failure that ended it, if any. */
export async function relayModel (host: RelayHost, request: RunRequest, response: ServerResponse): Promise<Failure | undefined> {
  const body = parseBody(request)
  const run = body === undefined ? undefined : host.outcomes.start(request.id, '', request.content, request.deadline)
  if (body === undefined || run === undefined) {
    const failure = body === undefined ? createFailure('malformed') : createFailure('late-deadline', Date.now() + retryDelayMilliseconds)
    sendFailure(response, request.id, failure)
    return failure
  }
  let result: RunResult = { kind: 'failure', failure: createFailure('upstream-lost', Date.now() + retryDelayMilliseconds), claimHolder: '' }
  try {
    const refused = await host.admission.run(request.admissionRequest, abortSignalOf(response), async admitted => {
      result = await new TokenRelay(host, request, body, response, admitted).run()
    })
    if (refused !== undefined) result = { kind: 'failure', failure: refused, claimHolder: '' }
  } finally {
    host.outcomes.resolve(run, result)
  }
  const failure = result.kind === 'failure' ? result.failure : undefined
  if (failure !== undefined) endWithFailure(response, request, failure)
  return failure
}

/** Sends the failure, or closes a stream that has started: without an `end` line the entry knows that the answer is incomplete. */
function endWithFailure (response: ServerResponse, request: RunRequest, failure: Failure): void {
  if (response.writableEnded || response.destroyed) return
  if (response.headersSent) response.destroy()
  else sendFailure(response, request.id, failure)
}

function parseBody (request: RunRequest): EngineRequest | undefined {
  try {
    const parsed = bodySchema.safeParse(JSON.parse(request.body.toString('utf8')))
    return parsed.success ? { id: request.id, ...parsed.data } : undefined
  } catch {
    return undefined
  }
}

/** How the part of an answer that one connection carried ended. */
type PartResult = { readonly kind: 'complete' | 'broken' | 'wrong' } | { readonly kind: 'refused', readonly failure: Failure }

/** Relays one request, over several connections if some of them break. */
class TokenRelay {
  /** Index of the next token to relay. */
  private next: number
  private firstByteAt = 0
  /** Whether a connection was lost that may have carried the request to the engine. */
  private mayHaveRun = false
  private readonly startedAt = Date.now()
  private readonly abortController = new AbortController()

  constructor (
    private readonly host: RelayHost,
    private readonly request: RunRequest,
    private readonly body: EngineRequest,
    private readonly response: ServerResponse,
    private readonly admitted: AdmittedRequest
  ) {
    this.next = body.resumeFrom
  }

  async run (): Promise<RunResult> {
    const connection = await reserveConnection(this.host, this.admitted, this.request)
    if ('tag' in connection) return failed(connection)
    const refusal = refusalBeforeSend(this.host, this.request, connection)
    if (refusal !== undefined) {
      this.host.connections.release(connection)
      return failed(refusal)
    }
    const timer = setTimeout(() => { this.abortController.abort() }, Math.max(0, this.request.deadline - Date.now()))
    this.response.once('close', () => { if (!this.response.writableFinished) this.abortController.abort() })
    try {
      return await this.relayAll(connection)
    } finally {
      clearTimeout(timer)
    }
  }

  private async relayAll (first: VerifiedConnection): Promise<RunResult> {
    let connection: VerifiedConnection | undefined = first
    for (let resumes = 0; connection !== undefined; resumes += 1) {
      const result = await this.relayPart(connection)
      if (result.kind === 'complete') return this.finish(connection)
      if (result.kind === 'refused') return failed(result.failure)
      if (result.kind === 'wrong') return await this.cancel(first.incarnation, createFailure('wrong-answer', Date.now() + retryDelayMilliseconds))
      if (this.abortController.signal.aborted) break
      connection = resumes < maximumResumes ? await this.reconnect(first.incarnation) : undefined
    }
    const isLate = Date.now() >= this.request.deadline
    return await this.cancel(first.incarnation, createFailure(isLate ? 'deadline-passed' : 'upstream-lost', Date.now() + retryDelayMilliseconds))
  }

  private finish (connection: VerifiedConnection): RunResult {
    this.host.connections.release(connection)
    const firstByte = this.firstByteAt - this.startedAt
    this.host.admission.recordAnswer(this.admitted, firstByte, Date.now() - this.startedAt)
    this.host.metrics.observe('first_byte_milliseconds', {}, firstByte)
    this.host.metrics.count('tokens_total', {}, this.next - this.body.resumeFrom)
    this.response.end()
    return { kind: 'streamed' }
  }

  private async relayPart (connection: VerifiedConnection): Promise<PartResult> {
    let isComplete = false
    try {
      const body = Buffer.from(JSON.stringify({ ...this.body, resumeFrom: this.next }))
      const answer = await sendRequest({
        url: `${this.host.upstream}/completions`,
        method: 'POST',
        agent: connection.agent,
        headers: upstreamHeaders(this.request, body),
        body,
        deadline: Math.min(this.request.deadline, Date.now() + this.host.progressMilliseconds),
        signal: this.abortController.signal
      })
      if (answer.statusCode !== 200) return this.refused(connection, answer.statusCode ?? 0)
      this.admitted.hasAnswerStarted = true
      for await (const lines of readLineGroups(answer, this.host.progressMilliseconds)) {
        if (isComplete) throw new UnexpectedLineError('lines follow the end of the answer')
        isComplete = await this.relayLines(lines)
      }
      if (!isComplete || !answer.complete) throw new Error('the stream ended before its end line')
      return { kind: 'complete' }
    } catch (error) {
      this.host.connections.discard(connection)
      if (isComplete) return { kind: 'complete' }
      if (error instanceof UnexpectedLineError) return { kind: 'wrong' }
      const wasSent = !(error instanceof TransportError) || error.sent
      this.mayHaveRun ||= wasSent
      if (wasSent && !this.abortController.signal.aborted) this.host.connectionLost(connection, this.request.admissionRequest.fingerprint)
      return { kind: 'broken' }
    }
  }

  /** Result for a status other than 200. After an earlier part that may have run the outcome is unknown; otherwise 400 and 503 mean that the request did not run, and any other status leaves that unknown. */
  private refused (connection: VerifiedConnection, status: number): PartResult {
    this.host.connections.discard(connection)
    if (this.mayHaveRun) return { kind: 'refused', failure: createFailure('upstream-lost', Date.now() + retryDelayMilliseconds) }
    if (status === 400) return { kind: 'refused', failure: createFailure('malformed') }
    return { kind: 'refused', failure: createFailure('upstream-refused', Date.now() + retryDelayMilliseconds, status === 503 ? 'not-run' : 'unknown') }
  }

  /** Checks lines and relays them in one write; true after the end line. */
  private async relayLines (lines: readonly string[]): Promise<boolean> {
    const checked: string[] = []
    let isComplete = false
    for (const text of lines) {
      const kind = checkLine(text, { id: this.request.id, weights: this.request.weights, next: this.next })
      checked.push(text)
      isComplete = kind === 'end'
      if (isComplete) break
      this.next += 1
    }
    if (this.firstByteAt === 0) this.startResponse()
    const canTakeMore = this.response.write(`${checked.join('\n')}\n`)
    if (!canTakeMore && !isComplete) await once(this.response, 'drain', { signal: this.abortController.signal })
    return isComplete
  }

  private startResponse (): void {
    this.firstByteAt = Date.now()
    this.response.writeHead(200, {
      'content-type': 'application/x-ndjson',
      [headers.requestId]: this.request.id,
      [headers.weights]: this.request.weights,
      [headers.outcome]: 'run'
    })
  }

  /** A new connection to resume the answer; undefined unless it reaches the same incarnation, which still serves the same weights. */
  private async reconnect (incarnation: string): Promise<VerifiedConnection | undefined> {
    try {
      const connection = await this.host.connections.acquire(this.request.deadline)
      if (connection.incarnation === incarnation && refusalOf(this.host, this.request)?.tag !== 'closed') return connection
      this.host.connections.release(connection)
    } catch {
      log.warn('could not reconnect to the engine to resume an answer', { request: this.request.id })
    }
    return undefined
  }

  /** Sends the failure to the entry at once; the request counts against the limit until the engine has cancelled it. */
  private async cancel (incarnation: string, failure: Failure): Promise<RunResult> {
    endWithFailure(this.response, this.request, failure)
    try {
      await this.cancelAtEngine()
    } catch {
      log.warn('the engine did not confirm a cancellation; the request may still run', { request: this.request.id })
      this.host.admission.recordAbandoned(incarnation)
    }
    return failed(failure)
  }

  private async cancelAtEngine (): Promise<void> {
    const deadline = Date.now() + cancelTimeoutMilliseconds
    const connection = await this.host.connections.acquire(deadline)
    const answer = await sendRequest({ url: `${this.host.upstream}/completions/${this.request.id}`, method: 'DELETE', agent: connection.agent, deadline })
    await readAll(answer, deadline, maximumConfirmationBytes)
    this.host.connections.release(connection)
  }
}

function failed (failure: Failure): RunResult {
  return { kind: 'failure', failure, claimHolder: '' }
}
