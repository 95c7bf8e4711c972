/** Small HTTP server for the stand-ins: a JSON router, a control server for faults, connections that go silent. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Handles one request; what it returns is sent as JSON unless it is undefined. */
export type Handler = (request: IncomingMessage, response: ServerResponse, path: readonly string[], query: URLSearchParams) => unknown

/** Open connections of a server; they can be cut, or go silent for good while new ones work. */
export class Connections {
  private readonly open = new Set<Socket>()
  private readonly unresponsive = new WeakSet<Socket>()

  /** Follows the connections of a server. */
  track (server: Server): void {
    server.on('connection', socket => {
      this.open.add(socket)
      socket.once('close', () => { this.open.delete(socket) })
    })
  }

  isUnresponsive (socket: Socket): boolean {
    return this.unresponsive.has(socket)
  }

  /** Makes the open connections silent: nothing that arrives is read, nothing written leaves. */
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

/** Listens at `address` (`ip:port`) and returns the server with its port. */
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

/** Sends a JSON body. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Reads a whole body. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts)
}

/** Reads a JSON body. */
export async function readJson<Value> (request: IncomingMessage): Promise<Value> {
  return JSON.parse((await readBody(request)).toString('utf8')) as Value
}

/** Resolves after a number of milliseconds. */
export function delay (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
