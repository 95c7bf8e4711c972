/** HTTP requests with deadlines, over kept-alive connections. */
import { Agent, request, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'

const connections = new Agent({ keepAlive: true, maxSockets: 256 })

/** A request to send; `deadline` in epoch milliseconds bounds the wait for the answer's headers. */
export interface OutgoingRequest {
  readonly url: string
  readonly method: string
  readonly headers?: OutgoingHttpHeaders
  readonly body?: Buffer | string
  readonly deadline: number
  readonly signal?: AbortSignal
  /** Connections to use in place of the shared ones. */
  readonly agent?: Agent
}

/** Says whether the request may have reached the other end before it failed. */
export class TransportError extends Error {
  constructor (message: string, readonly sent: boolean) {
    super(message)
    this.name = 'TransportError'
  }
}

/** Sends a request and resolves with the answer once its headers are there. */
export function sendRequest (outgoing: OutgoingRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let sent = false
    const call = request(outgoing.url, { method: outgoing.method, agent: outgoing.agent ?? connections, headers: outgoing.headers, signal: outgoing.signal })
    const timer = setTimeout(() => { call.destroy(new Error('no answer before the deadline')) }, Math.max(0, outgoing.deadline - Date.now()))
    call.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { sent = true })
      else sent = true
    })
    call.on('response', response => {
      clearTimeout(timer)
      resolve(response)
    })
    call.on('error', error => {
      clearTimeout(timer)
      reject(new TransportError(error.message, sent))
    })
    call.end(outgoing.body)
  })
}

/** Reads a whole answer before `deadline`, epoch milliseconds. */
export function readAll (response: IncomingMessage, deadline: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    const timer = setTimeout(() => { response.destroy(new Error('the answer did not end before the deadline')) }, Math.max(0, deadline - Date.now()))
    response.on('data', (part: Buffer) => { parts.push(part) })
    response.on('close', () => {
      clearTimeout(timer)
      if (response.complete) resolve(Buffer.concat(parts))
      else reject(new TransportError('the answer was cut', true))
    })
    response.on('error', error => { reject(new TransportError(error.message, true)) })
  })
}

/** Sends JSON, expects 200 with JSON. */
export async function requestJson (outgoing: { readonly url: string, readonly method: string, readonly headers?: OutgoingHttpHeaders, readonly body?: unknown, readonly deadline: number, readonly signal?: AbortSignal, readonly agent?: Agent }): Promise<unknown> {
  const body = outgoing.body === undefined ? undefined : JSON.stringify(outgoing.body)
  const contentHeaders = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  const headers = { ...outgoing.headers, ...contentHeaders }
  const response = await sendRequest({ ...outgoing, body, headers })
  const answer = await readAll(response, outgoing.deadline)
  if (response.statusCode !== 200) throw new StatusError(response.statusCode ?? 0, answer.toString('utf8').slice(0, 200))
  return JSON.parse(answer.toString('utf8'))
}

/** JSON with the tag that its server gave it. */
export interface TaggedJson { readonly entityTag: string, readonly value: unknown }

/** Reads JSON unless it still has the tag `known`; undefined when it is unchanged. */
export async function requestChangedJson (url: string, known: string, deadline: number): Promise<TaggedJson | undefined> {
  const response = await sendRequest({ url, method: 'GET', headers: known === '' ? {} : { 'if-none-match': known }, deadline })
  const answer = await readAll(response, deadline)
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
