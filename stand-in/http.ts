/** Small HTTP server for the stand-ins: JSON answers, and connections that can be reset or made unresponsive. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Handles one request, whose path is split at the slashes; a result other than undefined is sent as JSON with status 200. */
export type Handler = (request: IncomingMessage, response: ServerResponse, path: readonly string[], query: URLSearchParams) => unknown

/** Open connections of a server; they can be reset, or made unresponsive for good while new ones work. */
export class Connections {
  private readonly open = new Set<Socket>()
  private readonly unresponsive = new WeakSet<Socket>()

  /** Tracks the connections of a server until they close. */
  track (server: Server): void {
    server.on('connection', socket => {
      this.open.add(socket)
      socket.once('close', () => { this.open.delete(socket) })
    })
  }

  isUnresponsive (socket: Socket): boolean {
    return this.unresponsive.has(socket)
  }

  /** Makes the open connections unresponsive and returns their number: nothing is read from or sent on them any more. */
  makeUnresponsive (): number {
    for (const socket of this.open) {
      this.unresponsive.add(socket)
      socket.cork()
      socket.pause()
    }
    return this.open.size
  }

  /** Resets every open connection. */
  resetAll (): void {
    for (const socket of this.open) socket.resetAndDestroy()
  }
}

/** Listens at `address` (`ip:port`; port 0 for a free one) and returns the server with its port. */
export async function listenHttp (address: string, handler: Handler, connections = new Connections()): Promise<{ readonly server: Server, readonly port: number }> {
  const server = createServer((request, response) => {
    if (connections.isUnresponsive(request.socket)) return
    answer(handler, request, response).catch(() => { response.destroy() })
  })
  connections.track(server)
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  const bound = server.address()
  return { server, port: typeof bound === 'object' && bound !== null ? bound.port : 0 }
}

async function answer (handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in')
  const path = url.pathname.split('/').filter(part => part !== '')
  const result = await handler(request, response, path, url.searchParams)
  if (result !== undefined && !response.headersSent) sendJson(response, 200, result)
}

/** Sends a JSON body with its length. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Reads a complete body; rejects when the connection closes before its end. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts)
}

/** Reads a JSON body, whose shape is not checked; rejects when it is not JSON. */
export async function readJson<Value> (request: IncomingMessage): Promise<Value> {
  return JSON.parse((await readBody(request)).toString('utf8')) as Value
}

export function delay (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
