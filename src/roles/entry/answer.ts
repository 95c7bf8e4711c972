/** Turns a caller's request into its whole answer or a stated failure. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { intentsOf } from '../../core/configuration/resolve.js'
import { rankUpstreams } from '../../core/routing.js'
import { fail, isFailureTag, type Failure } from '../../errors.js'
import type { FoldState, Service } from '../../types/configuration.js'
import { headers, type AgentStatus, type AnswerLine, type Outcome } from '../../types/messages.js'
import type { EngineLine } from '../../types/platform.js'
import { headerOf, readBody, sendFailure } from '../../transports/http-server.js'
import { readAll, sendRequest, TransportError } from '../../transports/http-client.js'

const retryMilliseconds = 500
const attempts = 3

/** What answering needs of the entry. */
export interface AnswerHost {
  readonly bodyBytes: number
  readonly requestMilliseconds: number
  readonly state: FoldState
  /** Whether the configuration in force may be relied on. */
  readonly mayTakeWork: boolean
  readonly statuses: readonly AgentStatus[]
}

interface CallerRequest {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  readonly deadline: number
  readonly body: Buffer
  readonly idempotencyKey: string
}

/** Handles `POST /services/SERVICE/OPERATION`. */
export async function answerCaller (host: AnswerHost, request: IncomingMessage, response: ServerResponse, serviceName: string, operation: string): Promise<void> {
  const id = randomUUID()
  const body = await readBody(request, host.bodyBytes)
  if (body === undefined) {
    sendFailure(response, id, fail('too-large'))
    return
  }
  const deadline = Number(headerOf(request, headers.deadline)) || Date.now() + host.requestMilliseconds
  const caller: CallerRequest = { id, service: serviceName, operation, organisation: headerOf(request, headers.organisation), deadline, body, idempotencyKey: headerOf(request, headers.idempotencyKey) }
  const failure = await attemptAll(host, caller, response)
  if (failure !== undefined) sendFailure(response, id, failure)
}

async function attemptAll (host: AnswerHost, caller: CallerRequest, response: ServerResponse): Promise<Failure | undefined> {
  const { configuration, revisions } = host.state
  const retryAt = Date.now() + retryMilliseconds
  if (configuration === undefined) return fail('no-configuration', retryAt)
  if (!host.mayTakeWork) return fail('isolated', retryAt)
  const service = configuration.services[caller.service]
  if (service === undefined) return fail('unknown-service')
  if (configuration.organisations[caller.organisation] === undefined) return fail('unknown-organisation')
  const weights = service.kind === 'model' ? intentsOf(configuration, revisions, caller.service, caller.organisation).map(intent => intent.manifest) : undefined
  const inForce = host.statuses.filter(status => configuration.dataCentres[status.dataCentre]?.state === 'in')
  const ranked = rankUpstreams(inForce, caller.service, weights).slice(0, attempts)
  let last: Failure = fail(weights !== undefined && !inForce.some(status => weights.includes(status.weights)) ? 'no-weights' : 'busy', retryAt)
  for (const upstream of ranked) {
    const result = await attempt(caller, service, upstream, response)
    if (result === undefined) return undefined
    last = result
    if (result.outcome !== 'not-run') return result
  }
  return last
}

async function attempt (caller: CallerRequest, service: Service, upstream: AgentStatus, response: ServerResponse): Promise<Failure | undefined> {
  try {
    const body = bodyFor(caller, service)
    const answer = await sendRequest({
      url: `http://${upstream.address}/run/${caller.operation}`,
      method: 'POST',
      headers: {
        [headers.requestId]: caller.id,
        [headers.organisation]: caller.organisation,
        [headers.deadline]: String(caller.deadline),
        [headers.weights]: upstream.weights,
        [headers.idempotencyKey]: caller.idempotencyKey,
        'content-length': body.length
      },
      body,
      deadline: caller.deadline
    })
    const tag = headerOf(answer, headers.failure)
    if (isFailureTag(tag)) {
      answer.resume()
      return fail(tag, Date.now() + retryMilliseconds, headerOf(answer, headers.outcome) as Outcome)
    }
    if (headerOf(answer, headers.requestId) !== caller.id) return fail('wrong-answer')
    return service.kind === 'model' ? await passTokens(caller, upstream, answer, response) : await passWhole(caller, answer, response)
  } catch (error) {
    const sent = !(error instanceof TransportError) || error.sent
    return fail(sent ? 'upstream-lost' : 'upstream-refused', Date.now() + retryMilliseconds)
  }
}

function bodyFor (caller: CallerRequest, service: Service): Buffer {
  if (service.kind === 'plain') return caller.body
  const parsed = JSON.parse(caller.body.toString('utf8')) as { prompt: string, maximumTokens: number }
  return Buffer.from(JSON.stringify({ id: caller.id, prompt: parsed.prompt, maximumTokens: parsed.maximumTokens, priority: 0, resumeFrom: 0 }))
}

async function passWhole (caller: CallerRequest, answer: IncomingMessage, response: ServerResponse): Promise<undefined> {
  const body = await readAll(answer, caller.deadline)
  response.writeHead(answer.statusCode ?? 502, { 'content-type': 'application/json', 'content-length': body.length, [headers.requestId]: caller.id, [headers.outcome]: 'run' })
  response.end(body)
}

async function passTokens (caller: CallerRequest, upstream: AgentStatus, answer: IncomingMessage, response: ServerResponse): Promise<undefined> {
  response.writeHead(200, { 'content-type': 'application/x-ndjson', [headers.requestId]: caller.id, [headers.outcome]: 'run' })
  let ended = false
  try {
    for await (const line of linesOf(answer)) {
      const parsed = JSON.parse(line) as EngineLine
      if (parsed.id !== caller.id || parsed.weights !== upstream.weights) throw new Error('the line belongs to another answer')
      if (parsed.type === 'end') ended = true
      writeLine(response, parsed.type === 'token' ? { type: 'token', id: parsed.id, index: parsed.index, token: parsed.token } : { type: 'end', id: parsed.id, tokens: parsed.tokens, weights: parsed.weights })
    }
  } catch {
    ended = false
  }
  if (!ended) writeLine(response, { type: 'failure', id: caller.id, failure: 'upstream-lost', outcome: 'unknown', retryAt: Date.now() + retryMilliseconds })
  response.end()
}

async function * linesOf (answer: IncomingMessage): AsyncGenerator<string> {
  let rest = ''
  answer.setEncoding('utf8')
  for await (const part of answer) {
    const lines = (rest + String(part)).split('\n')
    rest = lines.pop() ?? ''
    yield * lines
  }
}

function writeLine (response: ServerResponse, line: AnswerLine): void {
  response.write(`${JSON.stringify(line)}\n`)
}
