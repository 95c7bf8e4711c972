/** HTTP server of entries and agents: bodies with a size limit, failures with their headers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Failure } from '../errors.js'
import { monotonicNow } from '../utils/clock.js'
import { discardBody } from './discard-body.js'
import { headers } from '../types/messages.js'

/** Time to receive and discard the rest of a request's body after a failure was sent, milliseconds. */
const discardTimeoutMilliseconds = 2000
/** Bytes of that rest that are received before the connection is closed instead. */
const maximumDiscardedBytes = 16 << 20

/** A listening server with the port that it is bound to. */
export interface HttpServer { readonly server: Server, readonly port: number }

/** Serves at `address` (`ip:port`). A request whose handler rejects is answered with status 500, or closed if its headers were sent. */
export async function serveHttp (address: string, handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Promise<HttpServer> {
  const server = createServer((request, response) => {
    if (!URL.canParse(request.url ?? '/', 'http://node')) {
      sendJson(response, 400, { error: 'the target is no URL' })
      return
    }
    handler(request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy()
      else sendJson(response, 500, { error: String(error) })
    })
  })
  server.on('clientError', (_error, socket) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n')
    else socket.destroy()
  })
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  const bound = server.address()
  return { server, port: typeof bound === 'object' && bound !== null ? bound.port : 0 }
}

/** Reads a body of at most `limit` bytes; undefined if it is larger. The connection stays open so that the failure can be sent over it. */
export async function readBody (request: IncomingMessage, limit: number): Promise<Buffer | undefined> {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of request.iterator({ destroyOnReturn: false })) {
    size += (part as Buffer).length
    if (size > limit) {
      discardBody(request, { maximumBytes: limit + maximumDiscardedBytes, deadline: monotonicNow() + discardTimeoutMilliseconds })
      return undefined
    }
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts)
}

/** Sends a complete answer with a JSON body. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Sends a failure with the request's outcome and the time to retry, without waiting for the rest of the request's body. */
export function sendFailure (response: ServerResponse, requestId: string, failure: Failure): void {
  const text = JSON.stringify({ id: requestId, failure: failure.tag, outcome: failure.outcome, text: failure.text, retryAt: failure.retryAt })
  const wait = failure.retryAt === 0 ? {} : { [headers.retryAfter]: String(Math.max(0, Math.ceil((failure.retryAt - Date.now()) / 1000))) }
  response.writeHead(failure.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [headers.requestId]: requestId,
    [headers.failure]: failure.tag,
    [headers.outcome]: failure.outcome,
    ...wait
  })
  if (response.req.complete) response.end(text)
  else endAfterBody(response, text)
}

/** Sends the text at once, but ends the answer only after the rest of the request's body or the timeout: closing the connection earlier can lose the text. */
function endAfterBody (response: ServerResponse, text: string): void {
  const { req: request } = response
  const timer = setTimeout(() => { response.end() }, discardTimeoutMilliseconds)
  response.write(text)
  request.once('close', () => { clearTimeout(timer) })
  request.once('end', () => { response.end() })
  discardBody(request, { maximumBytes: maximumDiscardedBytes, deadline: monotonicNow() + discardTimeoutMilliseconds })
}

/** Value of a header; empty if it is absent or has several values. */
export function headerOf (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}
