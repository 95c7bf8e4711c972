/** Fake agent: HTTP for runs, gRPC for status and outcomes; the test sets its behaviour. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { createFailure, type FailureTag } from '../../src/errors.js'
import { ControlService, serveControl, type ControlServer, type FollowEvent, type FollowRequest, type OutcomeReply, type OutcomeRequest, type FollowSession, type WatchRequest } from '../../src/transports/control.js'
import { readBody, sendFailure, serveHttp, type HttpServer } from '../../src/transports/http-server.js'
import { headers, type AgentStatus, type NodeDescription } from '../../src/types/messages.js'
import type { EngineRequest, ListedInstance } from '../../src/types/platform.js'
import { tokenAt } from '../../stand-in/engine.js'
import { freshAddress } from '../../script/launch.js'

/** A request that reached the fake. */
export interface Run {
  readonly id: string
  readonly operation: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Epoch milliseconds. */
  readonly at: number
  /** Whether the connection was closed before the answer's end. */
  cancelled: boolean
  ended: boolean
}

/** What the fake does with a run. */
export type Behaviour = (run: Run, response: ServerResponse, agent: FakeAgent) => Promise<void> | void

const heartbeatMilliseconds = 300
const maximumBodyBytes = 1 << 20
const emptyAnswer: Buffer = Buffer.alloc(0)

/** Records the requests that reach it and answers them by `behave`. */
export class FakeAgent extends ControlService {
  readonly runs: Run[] = []
  readonly questions: OutcomeRequest[] = []
  /** Replies by request id or by key; others are unknown. */
  readonly replies = new Map<string, Partial<OutcomeReply>>()
  /** Reply to a question that `replies` does not hold. */
  defaultOutcome: OutcomeReply['outcome'] = 'unknown'
  status: AgentStatus
  behave: Behaviour
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private readonly open = new Set<ServerResponse>()
  private http: HttpServer | undefined
  private control: ControlServer | undefined
  private heartbeat: NodeJS.Timeout | undefined

  constructor (readonly listed: ListedInstance, weights: string) {
    super()
    const { instance, dataCentre, service, address } = listed
    this.behave = weights === '' ? answerPlain : answerTokens()
    this.status = {
      instance, incarnation: `${instance}-1`, dataCentre, service, state: 'open', weights, limit: 8, inFlight: 0, waiting: 0, cold: false, configurationNext: 0, address, wanted: '', chunksHeld: 0, chunksTotal: 0, suspects: []
    }
  }

  async start (): Promise<void> {
    this.http = await serveHttp(this.listed.address, async (request, response) => {
      const body = await readBody(request, maximumBodyBytes)
      const run: Run = { id: String(request.headers[headers.requestId]), operation: (request.url ?? '').split('/')[2] ?? '', headers: request.headers, body: body ?? emptyAnswer, at: Date.now(), cancelled: false, ended: false }
      this.runs.push(run)
      response.on('close', () => {
        run.ended = response.writableFinished
        run.cancelled = !response.writableFinished
        this.open.delete(response)
      })
      this.open.add(response)
      await this.behave(run, response, this)
    })
    this.control = await serveControl(this.listed.controlAddress, this)
    this.heartbeat = setInterval(() => { this.publish({}) }, heartbeatMilliseconds)
  }

  stop (): void {
    clearInterval(this.heartbeat)
    this.control?.close()
    this.http?.server.closeAllConnections()
    this.http?.server.close()
  }

  /** Closes the connection of every open answer, as a crash of the upstream does. */
  closeResponses (): void {
    for (const response of this.open) response.destroy()
  }

  /** Changes the status and sends it to every entry that watches this agent. */
  publish (change: Partial<AgentStatus>): void {
    this.status = { ...this.status, ...change }
    for (const send of this.watchers) send(this.status)
  }

  describe (): NodeDescription {
    const { instance, dataCentre } = this.listed
    return { instance, role: 'agent', dataCentre, configurationNext: 0, revision: 0, confirmedUntil: 0, logReachable: true, leaving: false, inFlight: 0 }
  }

  follow (_request: FollowRequest, _send: (event: FollowEvent) => void): FollowSession {
    return { receiveHeartbeat: () => {}, end: () => {} }
  }

  override watch (_request: WatchRequest, send: (status: AgentStatus) => void): () => void {
    this.watchers.add(send)
    send(this.status)
    return () => { this.watchers.delete(send) }
  }

  override outcome (question: OutcomeRequest): OutcomeReply {
    this.questions.push(question)
    const reply = this.replies.get(question.key === '' ? question.requestId : question.key)
    return { outcome: this.defaultOutcome, status: 0, answer: emptyAnswer, incarnation: this.status.incarnation, ...reply }
  }
}

/** How a stream of tokens goes wrong. */
export interface StreamFault {
  /** Tokens sent before the fault. */
  readonly after: number
  readonly kind: 'cut' | 'silent' | 'other-id' | 'other-weights' | 'gap' | 'early-end' | 'clean-end'
}

/** Streams the requested tokens, each after a delay of `tokenMilliseconds`, up to the fault if there is one. */
export function answerTokens (fault?: StreamFault, tokenMilliseconds = 1): Behaviour {
  return async (run, response, agent) => {
    const request = JSON.parse(run.body.toString('utf8')) as EngineRequest
    const weights = agent.status.weights
    response.writeHead(200, { 'content-type': 'application/x-ndjson', [headers.requestId]: run.id, [headers.weights]: weights, [headers.outcome]: 'run' })
    response.flushHeaders()
    const line = (value: unknown): void => { response.write(`${JSON.stringify(value)}\n`) }
    for (let index = request.resumeFrom; index < request.maximumTokens; index += 1) {
      await wait(tokenMilliseconds)
      if (response.destroyed) return
      const token = { type: 'token', id: run.id, index, token: tokenAt(weights, request.prompt, index), weights }
      if (fault === undefined || index - request.resumeFrom < fault.after) {
        line(token)
        continue
      }
      if (fault.kind === 'cut') response.destroy()
      if (fault.kind === 'clean-end') response.end()
      if (fault.kind === 'cut' || fault.kind === 'clean-end' || fault.kind === 'silent') return
      if (fault.kind === 'other-id') line({ ...token, id: 'another-request' })
      if (fault.kind === 'other-weights') line({ ...token, weights: 'f'.repeat(64) })
      if (fault.kind === 'gap') line({ ...token, index: index + 1 })
      if (fault.kind === 'early-end') line({ type: 'end', id: run.id, tokens: request.maximumTokens, weights, reason: 'complete' })
    }
    line({ type: 'end', id: run.id, tokens: request.maximumTokens, weights, reason: 'complete' })
    response.end()
  }
}

/** Answers as a plain service does. */
export const answerPlain: Behaviour = (run, response) => {
  const body = JSON.stringify({ id: run.id, operation: run.operation })
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [headers.requestId]: run.id, [headers.outcome]: 'run' })
  response.end(body)
}

/** Sends the complete answer of another request. */
export const answerOtherRequest: Behaviour = (run, response, agent) => answerPlain({ ...run, id: 'another-request' }, response, agent)

/** Refuses every run with a failure that may be retried after `retryMilliseconds`. */
export function refuseWith (tag: FailureTag, retryMilliseconds = 1000, claimHolder = ''): Behaviour {
  return (run, response) => {
    if (claimHolder !== '') response.setHeader(headers.claimHolder, claimHolder)
    sendFailure(response, run.id, createFailure(tag, Date.now() + retryMilliseconds))
  }
}

/** Accepts the request and never answers it. */
export const neverAnswer: Behaviour = () => {}

/** Closes the connection without an answer. */
export const closeImmediately: Behaviour = (_run, response) => { response.destroy() }

/** Identity and location of a new fake. */
export interface FakeLocation { readonly instance: string, readonly service: string, readonly dataCentre: string, readonly region: string }

/** A listed instance with fresh addresses. */
export function createListedInstance (place: FakeLocation): ListedInstance {
  return { ...place, role: 'upstream', state: 'live', address: freshAddress(), controlAddress: freshAddress() }
}
