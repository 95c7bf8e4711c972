/** Passes admitted requests to the upstream and its answers back, whole or with a stated failure. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { fail, type Failure } from '../../errors.js'
import { headers } from '../../types/messages.js'
import { headerOf, readBody, sendFailure } from '../../transports/http-server.js'
import { sendRequest } from '../../transports/http-client.js'

const bodyBytes = 4 << 20
const retryMilliseconds = 500

/** What the relay asks of the agent. */
export interface RelayHost {
  readonly upstream: string
  readonly kind: 'model' | 'plain'
  /** A failure when the request may not run now; otherwise it counts as in flight. */
  admit (weights: string): Failure | undefined
  /** The request left the upstream; `firstByteMilliseconds` is undefined when no whole answer came. */
  release (firstByteMilliseconds: number | undefined): void
}

/** Handles `POST /run/OPERATION`. */
export async function relay (host: RelayHost, request: IncomingMessage, response: ServerResponse, operation: string): Promise<void> {
  const id = headerOf(request, headers.requestId)
  const body = await readBody(request, bodyBytes)
  if (body === undefined) {
    sendFailure(response, id, fail('too-large'))
    return
  }
  const weights = headerOf(request, headers.weights)
  const refusal = host.admit(weights)
  if (refusal !== undefined) {
    sendFailure(response, id, refusal)
    return
  }
  const started = Date.now()
  let firstByte: number | undefined
  let whole = false
  try {
    const answer = await sendRequest({
      url: `${host.upstream}${host.kind === 'model' ? '/completions' : `/run/${operation}`}`,
      method: 'POST',
      headers: { [headers.requestId]: id, [headers.idempotencyKey]: headerOf(request, headers.idempotencyKey), 'content-type': 'application/json', 'content-length': body.length },
      body,
      deadline: Number(headerOf(request, headers.deadline))
    })
    firstByte = Date.now() - started
    await pipeAnswer(answer, response, id, weights)
    whole = answer.complete
  } catch {
    if (response.headersSent) response.destroy()
    else sendFailure(response, id, fail('upstream-lost', Date.now() + retryMilliseconds))
  } finally {
    host.release(whole ? firstByte : undefined)
  }
}

async function pipeAnswer (answer: IncomingMessage, response: ServerResponse, id: string, weights: string): Promise<void> {
  const status = answer.statusCode ?? 502
  response.writeHead(status, {
    'content-type': answer.headers['content-type'] ?? 'application/json',
    [headers.requestId]: id,
    [headers.weights]: weights,
    [headers.outcome]: status === 503 ? 'not-run' : 'run'
  })
  for await (const part of answer) response.write(part)
  if (!answer.complete) throw new Error('the answer was cut')
  response.end()
}
