/** An entry before upstreams on raw sockets, which can send what an HTTP library refuses to. */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { startEntries, versionInForce, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'
import { eventually } from './test-cluster.js'

const dataCentre = 'zone-a'
const upstreamCount = 3
const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** A complete answer, which is also a complete stream. */
export const wholeText = 'id: 1\ndata: whole\n\n'

/** Status line, id and signature of an answer, without the line that ends its head. */
export function signedHead (id: string, statusLine = 'HTTP/1.1 200 OK'): string {
  return `${statusLine}\r\nX-Attempt-Id: ${id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n`
}

/** A complete answer as bytes. */
export function wholeAnswer (id: string): string {
  return `${signedHead(id)}Content-Length: ${wholeText.length}\r\n\r\n${wholeText}`
}

/** Answers the request `id` on its connection. */
export type RawAnswer = (socket: Socket, id: string) => void

/** When an answer is sent: once the request is complete, or once its head is, without reading its body. */
export type AnswerTime = 'after the body' | 'before the body'

/** A server that answers each request with bytes. */
export class RawServer {
  /** Ids of the requests that arrived. */
  readonly ids: string[] = []
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (private readonly answer: RawAnswer, private readonly answerTime: AnswerTime = 'after the body') {
    this.server = createServer(socket => { this.accept(socket) })
  }

  /** Starts it; its address is `ip:port`. */
  async start (): Promise<string> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    let received = ''
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    socket.on('data', (part: Buffer) => {
      received += part.toString('latin1')
      const headEnd = received.indexOf('\r\n\r\n')
      if (headEnd === -1) return
      const head = received.slice(0, headEnd)
      const end = headEnd + 4 + Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
      if (this.answerTime === 'before the body') socket.pause()
      else if (received.length < end) return
      received = received.slice(end)
      const id = /^x-attempt-id: *(\S+)/im.exec(head)?.[1] ?? ''
      this.ids.push(id)
      this.answer(socket, id)
    })
  }
}

/** Kinds of routes; one that is safe, or a stream that may be resumed, may run again. */
export const routeKinds = ['safe', 'unsafe', 'stream'] as const

/** Kind of a route. */
export type RouteKind = typeof routeKinds[number]

/** What a caller received; status 0 without an answer that its parser accepts. */
export interface RawResult {
  readonly status: number
  readonly text: string
  /** Whether the answer ended regularly. */
  readonly isComplete: boolean
}

/** Three upstreams, the first of which is faulty, and an entry with one route of each kind. */
export class RawFleet {
  entry!: GroupedEntry
  readonly faulty: RawServer
  private readonly upstreams: readonly RawServer[]
  private readonly log = new SharedLog(dataCentre)

  constructor (faultyAnswer: RawAnswer, answerTime: AnswerTime = 'after the body') {
    this.faulty = new RawServer(faultyAnswer, answerTime)
    this.upstreams = [this.faulty, ...Array.from({ length: upstreamCount - 1 }, () => new RawServer((socket, id) => { socket.write(wholeAnswer(id)) }))]
  }

  async start (): Promise<void> {
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: routeKinds.map(kind => ({ name: kind, host: 'a.example', 'path-prefix': `/${kind}/`, 'route-type': kind, resumable: kind === 'stream', 'timeout-ms': 2500, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 3, public: true, service: 'plain' })),
      services: [{ name: 'plain', 'max-conns': 200 }]
    }))
    for (const [index, upstream] of this.upstreams.entries()) {
      this.log.append('instances', `i-${index}`, bytesOf({ service: 'plain', address: await upstream.start(), zone: dataCentre, state: 'ready', slots: 20, born: 1000 }))
    }
    const [entry] = await startEntries(this.log, [dataCentre], 1)
    if (entry === undefined) throw new Error('no entry was started')
    this.entry = entry
    await eventually(async () => await versionInForce(entry) === 1)
    // An entry that has just started knows the configuration before the upstreams.
    await eventually(async () => (await this.send('safe', 'start', 1)).status === 200)
  }

  async stop (): Promise<void> {
    await this.entry.node.stop()
    for (const upstream of this.upstreams) upstream.stop()
  }

  /** Ids of all requests that reached upstreams, each time they did. */
  get ids (): readonly string[] {
    return this.upstreams.flatMap(({ ids }) => ids)
  }

  /** Sends requests of one kind, with a body of `bodyBytes`, one after another; the ids are `kind-0` and so on. */
  async sendAll (kind: RouteKind, count: number, bodyBytes: number): Promise<readonly RawResult[]> {
    const results: RawResult[] = []
    for (let index = 0; index < count; index += 1) results.push(await this.send(kind, `${kind}-${index}`, bodyBytes))
    return results
  }

  private send (kind: RouteKind, id: string, bodyBytes: number): Promise<RawResult> {
    const [host = '', port = ''] = this.entry.callers.split(':')
    return new Promise(resolve => {
      const outgoing = request({ host, port, method: 'POST', path: `/${kind}/1`, agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '2400', 'content-length': String(bodyBytes) } }, answer => {
        let text = ''
        answer.on('data', (part: Buffer) => { text += part.toString('latin1') })
        answer.on('error', () => {})
        answer.on('close', () => { resolve({ status: answer.statusCode ?? 0, text, isComplete: answer.complete }) })
      })
      outgoing.on('error', () => { resolve({ status: 0, text: '', isComplete: false }) })
      outgoing.end(Buffer.alloc(bodyBytes, 'a'))
    })
  }
}
