/** HTTP calls whose request and answer bodies are held in memory. */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'
import { monotonicNow } from '../utils/clock.js'

/** A call to `address`, `ip:port`; `deadline` in milliseconds of the monotonic clock. */
export interface HttpCall {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body?: Buffer | string | undefined
  readonly headers?: Readonly<Record<string, string>> | undefined
  readonly deadline: number
  readonly agent?: Agent | undefined
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Time from the call until the head of the answer arrived, milliseconds. */
  readonly firstByteMilliseconds: number
  /** Time from the call until the answer was complete, milliseconds. */
  readonly milliseconds: number
}

/** Rejection of a call without a complete answer; `receivedBytes` of its body had arrived. */
export class HttpCallError extends Error {
  constructor (cause: Error, readonly receivedBytes: number) {
    super(cause.message, { cause })
  }
}

/** Makes a call; rejects with `HttpCallError` if the answer is not complete by the deadline. */
export function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const [host = '', port = ''] = call.address.split(':')
  const startedAt = monotonicNow()
  return new Promise((resolve, reject) => {
    const length = call.body === undefined ? {} : { 'content-length': String(Buffer.byteLength(call.body)) }
    const outgoing = request({ host, port, method: call.method, path: call.path, agent: call.agent, headers: { ...call.headers, ...length } })
    const timer = setTimeout(() => { outgoing.destroy(new Error(`no answer from ${call.address} in time`)) }, Math.max(0, call.deadline - monotonicNow()))
    let receivedBytes = 0
    const fail = (error: Error): void => {
      clearTimeout(timer)
      reject(new HttpCallError(error, receivedBytes))
    }
    outgoing.on('error', fail)
    outgoing.on('response', answer => {
      const firstByteMilliseconds = monotonicNow() - startedAt
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => {
        receivedBytes += part.length
        parts.push(part)
      })
      answer.on('error', fail)
      answer.on('end', () => {
        clearTimeout(timer)
        resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: Buffer.concat(parts), firstByteMilliseconds, milliseconds: monotonicNow() - startedAt })
      })
    })
    outgoing.end(call.body)
  })
}
