/** HTTP serving for both roles: bodies with a limit, failures with their headers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Failure } from '../errors.js'
import { headers } from '../types/messages.js'

const discardTimeoutMilliseconds = 2000

/** A listening server. */
export interface HttpServer { readonly server: Server, readonly port: number }

/** Serves at `address` (`ip:port`); a handler that throws answers 500 and hurts nobody else. */
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

/** Reads a body of at most `limit` bytes; undefined when it is larger, so that the connection can still carry the refusal. */
export async function readBody (request: IncomingMessage, limit: number): Promise<Buffer | undefined> {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of request.iterator({ destroyOnReturn: false })) {
    size += (part as Buffer).length
    if (size > limit) {
      request.resume()
      return undefined
    }
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts)
}

/** Sends JSON. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Sends a failure at once, with its truth and when to come back. */
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

/** The whole text leaves at once; the connection stays until the rest of the body came, since closing it earlier can lose the text. */
function endAfterBody (response: ServerResponse, text: string): void {
  const { req: request } = response
  const timer = setTimeout(() => { response.end() }, discardTimeoutMilliseconds)
  response.write(text)
  request.once('close', () => { clearTimeout(timer) })
  request.once('end', () => { response.end() })
  request.resume()
}

/** One header as text, empty when absent. */
export function headerOf (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}
