/** An entry before several upstreams that answer with scripted event streams. */
import { createServer, request, type ClientRequest, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { startEntries, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'
import { eventually } from './test-cluster.js'

const dataCentre = 'zone-a'
/** Number of events of each stream. */
export const eventCount = 6

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))
const eventOf = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`

/** The text of a complete stream. */
export const completeText = Array.from({ length: eventCount }, (_, index) => eventOf(index + 1)).join('')

/** One call as an upstream sees it. */
export class ScriptedCall {
  /** Whether the connection was closed before the answer was complete. */
  wasClosed = false
  closedAt = 0
  private hasHead = false

  constructor (private readonly incoming: IncomingMessage, private readonly response: ServerResponse) {
    response.on('close', () => {
      this.wasClosed = !response.writableFinished
      this.closedAt = performance.now()
    })
  }

  get id (): string {
    return String(this.incoming.headers['x-attempt-id'])
  }

  /** Id of the event after which the stream is to continue; 0 for all of it. */
  get after (): number {
    return Number(this.incoming.headers['last-event-id'] ?? 0)
  }

  /** Sends the next events up to number `last`, one each 20 ms; the head precedes them. */
  async sendUntil (last: number, from = this.after + 1): Promise<void> {
    this.sendHead()
    for (let id = from; id <= last; id += 1) {
      this.response.write(eventOf(id))
      await delay(20)
    }
  }

  /** Sends the rest of the stream from `from` on, and its end. */
  async finish (from = this.after + 1): Promise<void> {
    await this.sendUntil(eventCount, from)
    this.response.end()
  }

  /** Sends the part of an event and ends the connection properly. */
  endWithinEvent (): void {
    this.response.end('id: 5\nda')
  }

  /** Has the answer end with its connection, without length or chunks. */
  withoutFraming (): this {
    this.response.useChunkedEncodingByDefault = false
    return this
  }

  reset (): void {
    this.response.socket?.resetAndDestroy()
  }

  /** Writes bytes past the server's HTTP library; then closes the connection, resets it, or leaves it open. */
  sendRaw (bytes: string, end: 'close' | 'reset' | 'none'): void {
    const { socket } = this.response
    if (end === 'close') socket?.end(bytes, 'latin1')
    else socket?.write(bytes, 'latin1', () => { if (end === 'reset') socket.resetAndDestroy() })
  }

  /** Refuses the request without running it. */
  refuse (status: number): void {
    this.response.writeHead(status, { 'x-attempt-id': this.id, 'x-not-executed': '1', 'content-length': '0' }).end()
  }

  /** Sends a complete answer that is no stream. */
  answer (status: number, text: string): void {
    this.sendHead(status)
    this.response.end(text)
  }

  sendHead (status = 200): void {
    if (this.hasHead) return
    this.hasHead = true
    this.response.writeHead(status, { 'x-server-stamp': 'stamp', 'x-attempt-id': this.id, 'content-type': 'text/event-stream' })
    this.response.flushHeaders()
  }
}

/** What an upstream does with a call; `number` counts the calls of the request at all upstreams from 0. */
export type Script = (call: ScriptedCall, number: number, upstream: number) => void | Promise<void>

/** How a caller's request ended. */
export interface CallerResult {
  readonly status: number
  readonly text: string
  /** Whether the answer ended regularly. */
  readonly isComplete: boolean
}

/** Options of the fleet's only route, and of its entry. */
export interface RouteOptions {
  readonly upstreams: number
  readonly maximumUpstreams: number
  readonly kind?: 'stream' | 'safe'
  readonly isResumable?: boolean
  readonly timeoutMilliseconds?: number
  readonly slots?: number
  /** Time for a planned stop of the entry, milliseconds. */
  readonly stopGraceMilliseconds?: number
}

/** The upstreams and the entry. */
export class StreamFleet {
  /** Calls of each request, by its id. */
  readonly calls = new Map<string, ScriptedCall[]>()
  /** `Content-Length` of each answer that a caller got, by the request's id. */
  readonly contentLengths = new Map<string, string | undefined>()
  entry!: GroupedEntry
  private readonly log = new SharedLog(dataCentre)
  private servers: readonly Server[] = []

  constructor (private readonly options: RouteOptions, private readonly script: Script) {}

  /** All calls, in the order in which they began for each request. */
  get allCalls (): readonly ScriptedCall[] {
    return [...this.calls.values()].flat()
  }

  async start (): Promise<void> {
    const { upstreams, maximumUpstreams, kind = 'stream', isResumable = true, timeoutMilliseconds = 8000, slots = 200 } = this.options
    this.servers = Array.from({ length: upstreams }, (_, index) => createServer((incoming, response) => { this.serve(incoming, response, index) }))
    await Promise.all(this.servers.map(server => new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })))
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': kind, resumable: isResumable, 'timeout-ms': timeoutMilliseconds, 'latency-goal-ms': 300, 'gap-target-ms': 400, priority: 1, 'max-attempts': maximumUpstreams, public: true, service: 'plain' }],
      services: [{ name: 'plain', 'max-conns': 0 }]
    }))
    this.servers.forEach((server, index) => {
      const { port } = server.address() as AddressInfo
      this.log.append('instances', `i-${index}`, bytesOf({ service: 'plain', address: `127.0.0.1:${port}`, zone: dataCentre, state: 'ready', slots, born: 1000 }))
    })
    const [entry] = await startEntries(this.log, [dataCentre], 1, [], new Map(), this.options)
    if (entry === undefined) throw new Error('no entry was started')
    this.entry = entry
    await eventually(async () => (await this.send('start').result).status !== 503)
    this.calls.clear()
  }

  /** Removes the record of an upstream, which has not said that it leaves. */
  removeRecord (upstream: number): void {
    this.log.append('instances', `i-${upstream}`, undefined)
  }

  async stop (): Promise<void> {
    await this.entry.node.stop()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Sends a request; `outgoing` can be destroyed to leave. */
  send (id: string, method = 'GET'): { readonly outgoing: ClientRequest, readonly result: Promise<CallerResult> } {
    const [host = '', port = ''] = this.entry.callers.split(':')
    const path = id === 'start' ? '/unknown/' : '/r/1'
    const outgoing = request({ host, port, method, path, agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '8000' } })
    const result = new Promise<CallerResult>(resolve => {
      outgoing.on('error', () => { resolve({ status: 0, text: '', isComplete: false }) })
      outgoing.on('response', answer => {
        let text = ''
        this.contentLengths.set(id, answer.headers['content-length'])
        answer.on('data', (part: Buffer) => { text += part.toString() })
        answer.on('error', () => {})
        answer.on('close', () => { resolve({ status: answer.statusCode ?? 0, text, isComplete: answer.complete }) })
      })
    })
    outgoing.end()
    return { outgoing, result }
  }

  /** Sends `count` requests at once. */
  async sendAll (count: number): Promise<readonly CallerResult[]> {
    return await Promise.all(Array.from({ length: count }, async (_, index) => await this.send(`request-${index}`).result))
  }

  private serve (incoming: IncomingMessage, response: ServerResponse, upstream: number): void {
    const id = String(incoming.headers['x-attempt-id'])
    const call = new ScriptedCall(incoming, response)
    const earlier = this.calls.get(id) ?? []
    this.calls.set(id, [...earlier, call])
    incoming.resume()
    Promise.resolve(this.script(call, earlier.length, upstream)).catch(() => {})
  }
}

/** Whether a caller got the complete stream, each event once and in order, with a regular end. */
export function isWhole (result: CallerResult): boolean {
  return result.status === 200 && result.isComplete && result.text === completeText
}
