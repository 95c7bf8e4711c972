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
}

/** Makes a call; rejects if the answer is not complete by the deadline. */
export function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const [host = '', port = ''] = call.address.split(':')
  return new Promise((resolve, reject) => {
    const length = call.body === undefined ? {} : { 'content-length': String(Buffer.byteLength(call.body)) }
    const outgoing = request({ host, port, method: call.method, path: call.path, agent: call.agent, headers: { ...call.headers, ...length } })
    const timer = setTimeout(() => { outgoing.destroy(new Error(`no answer from ${call.address} in time`)) }, Math.max(0, call.deadline - monotonicNow()))
    const fail = (error: Error): void => {
      clearTimeout(timer)
      reject(error)
    }
    outgoing.on('error', fail)
    outgoing.on('response', answer => {
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => { parts.push(part) })
      answer.on('error', fail)
      answer.on('end', () => {
        clearTimeout(timer)
        resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: Buffer.concat(parts) })
      })
    })
    outgoing.end(call.body)
  })
}
