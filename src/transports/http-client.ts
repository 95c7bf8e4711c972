/** HTTP requests with deadlines, over persistent connections. */
import { request, type Agent, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { monotonicNow } from '../utils/clock.js'
import { isComplete } from './answer-end.js'
import { findHeadProblem, invalidStatus, type HeadProblem } from './answer-head.js'
import { CheckedAgent } from './checked-agent.js'
import { observeConnection } from './connection-end.js'

/** Time after which an idle connection is not reused, milliseconds; servers of Node.js close theirs after 5 s. */
const maximumIdleMilliseconds = 2000

/**
 * Agent that checks how long a connection was idle when it would be reused. A timer would not do: in a delayed process it runs
 * late, as does the notice that the server has closed the connection, and the request is lost with it.
 */
class IdleCheckedAgent extends CheckedAgent {
  /** Milliseconds of the monotonic clock until which an idle connection may be reused. */
  private readonly reusableUntil = new WeakMap<Socket, number>()

  override keepSocketAlive (socket: Socket): boolean {
    this.reusableUntil.set(socket, monotonicNow() + maximumIdleMilliseconds)
    return super.keepSocketAlive(socket)
  }

  override addRequest (added: ClientRequest, ...options: readonly unknown[]): void {
    const now = monotonicNow()
    for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
      if ((this.reusableUntil.get(socket) ?? 0) < now) socket.destroy()
    }
    super.addRequest(added, ...options)
  }
}

const connections = new IdleCheckedAgent({ keepAlive: true, maxSockets: 256 })

/** A request to send; the answer's headers must arrive by `deadline`, epoch milliseconds. */
export interface OutgoingRequest {
  readonly url: string
  readonly method: string
  readonly headers?: OutgoingHttpHeaders
  readonly body?: Buffer | string
  readonly deadline: number
  readonly signal?: AbortSignal
  /** Agent to use instead of the shared one. */
  readonly agent?: Agent
}

/** Failure of a request; `sent` indicates whether the request may have reached the server. */
export class TransportError extends Error {
  constructor (message: string, readonly sent: boolean) {
    super(message)
    this.name = 'TransportError'
  }
}

/** Sends a request and resolves once the answer's headers have arrived; rejects with `TransportError`. */
export function sendRequest (outgoing: OutgoingRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let sent = false
    const call = request(outgoing.url, { method: outgoing.method, agent: outgoing.agent ?? connections, headers: outgoing.headers, signal: outgoing.signal })
    const timer = setTimeout(() => { call.destroy(new Error('no answer before the deadline')) }, Math.max(0, outgoing.deadline - Date.now()))
    call.on('socket', socket => {
      observeConnection(socket)
      if (socket.connecting) socket.once('connect', () => { sent = true })
      else sent = true
    })
    const refuse = ({ text }: HeadProblem): void => {
      reject(new TransportError(`the answer has ${text}`, true))
      call.destroy()
    }
    call.on('response', response => {
      clearTimeout(timer)
      const problem = findHeadProblem(response)
      if (problem === undefined) resolve(response)
      else refuse(problem)
    })
    call.on('upgrade', (response, socket) => {
      clearTimeout(timer)
      socket.destroy()
      refuse(invalidStatus(response.statusCode ?? 0))
    })
    call.on('error', error => {
      clearTimeout(timer)
      reject(new TransportError(error.message, sent))
    })
    call.end(outgoing.body)
  })
}

/** Largest JSON answer that is received, bytes: a page of the log, or the digests of a large version. */
const maximumJsonBytes = 32 << 20

/** Reads the complete body of an answer; rejects with `TransportError` if it does not end by `deadline`, epoch milliseconds, or has more than `maximumBytes`. */
export function readAll (response: IncomingMessage, deadline: number, maximumBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    let parts: Buffer[] = []
    let bytes = 0
    const timer = setTimeout(() => { response.destroy(new Error('the answer did not end before the deadline')) }, Math.max(0, deadline - Date.now()))
    response.on('data', (part: Buffer) => {
      parts.push(part)
      bytes += part.length
      if (bytes <= maximumBytes) return
      parts = []
      response.destroy(new Error(`the answer exceeds ${maximumBytes} bytes`))
    })
    response.on('close', () => {
      clearTimeout(timer)
      if (isComplete(response)) resolve(Buffer.concat(parts))
      else reject(new TransportError('the answer was cut', true))
    })
    response.on('error', error => { reject(new TransportError(error.message, true)) })
  })
}

/** Sends JSON and returns the JSON of the answer. Rejects with `TransportError`, or with `StatusError` for a status other than 200. */
export async function requestJson (outgoing: { readonly url: string, readonly method: string, readonly headers?: OutgoingHttpHeaders, readonly body?: unknown, readonly deadline: number, readonly signal?: AbortSignal, readonly agent?: Agent }): Promise<unknown> {
  const body = outgoing.body === undefined ? undefined : JSON.stringify(outgoing.body)
  const contentHeaders = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  const headers = { ...outgoing.headers, ...contentHeaders }
  const response = await sendRequest({ ...outgoing, body, headers })
  const answer = await readAll(response, outgoing.deadline, maximumJsonBytes)
  if (response.statusCode !== 200) throw new StatusError(response.statusCode ?? 0, answer.toString('utf8').slice(0, 200))
  return JSON.parse(answer.toString('utf8'))
}

/** JSON with the entity tag (`ETag`) that the server sent; empty if it sent none. */
export interface TaggedJson { readonly entityTag: string, readonly value: unknown }

/** Reads JSON unless its entity tag is still `known`; undefined if it is unchanged. An empty `known` always reads. Rejects as `requestJson` does. */
export async function requestChangedJson (url: string, known: string, deadline: number): Promise<TaggedJson | undefined> {
  const response = await sendRequest({ url, method: 'GET', headers: known === '' ? {} : { 'if-none-match': known }, deadline })
  const answer = await readAll(response, deadline, maximumJsonBytes)
  if (response.statusCode === notModified) return undefined
  if (response.statusCode !== 200) throw new StatusError(response.statusCode ?? 0, answer.toString('utf8').slice(0, 200))
  return { entityTag: response.headers.etag ?? '', value: JSON.parse(answer.toString('utf8')) }
}

const notModified = 304

/** An answer with a status other than 200. */
export class StatusError extends Error {
  constructor (readonly status: number, text: string) {
    super(`status ${status}: ${text}`)
    this.name = 'StatusError'
  }
}
