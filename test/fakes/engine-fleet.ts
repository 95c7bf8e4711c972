/** A small deployment with weights: a log in memory, one entry, engines that hold each stream back before its first event, and routes of each kind of stream. */
import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { monotonicNow } from '../../src/utils/clock.js'
import { startEntries, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'

const dataCentre = 'zone-a'
const service = 'tokens'
const model = 'weights-a'
/** Events of each stream. */
const eventCount = 4
/** Bytes of a whole stream. */
export const wholeStream = Array.from({ length: eventCount }, (_, index) => `id: ${index + 1}\ndata: token\n\n`).join('')

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** A route of streams, by its path prefix. */
export interface StreamRoute {
  readonly isResumable: boolean
  readonly maximumUpstreams: number
}

/** Path prefix of a route. */
export function prefixOf ({ isResumable, maximumUpstreams }: StreamRoute): string {
  return `/${isResumable ? 'resumable' : 'once'}-${maximumUpstreams}/`
}

/** An engine: an upstream that sends a request's first event after `firstEventMilliseconds`, and drops requests whose connection closes before. */
export class FakeEngine {
  /** Ids of the requests that it received. */
  readonly received: string[] = []
  /** When it began each request, milliseconds of the monotonic clock, by id. */
  readonly begun = new Map<string, number>()
  private readonly server: Server

  /** Its record names `listedVersion`, which may no longer be right. */
  constructor (readonly id: string, private readonly version: number, private readonly firstEventMilliseconds: number, private readonly eventMilliseconds = 20, private readonly listedVersion = version) {
    this.server = createServer((incoming, response) => { this.serve(incoming, response) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
  }

  stop (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Its record in the instance list, which names `version`. */
  recordOf (version = this.listedVersion): Buffer {
    const { port } = this.server.address() as AddressInfo
    return bytesOf({ service, address: `127.0.0.1:${port}`, zone: dataCentre, state: 'ready', slots: 40, born: 1000, 'model-list': [{ name: model, version }] })
  }

  private serve (incoming: IncomingMessage, response: ServerResponse): void {
    const id = String(incoming.headers['x-attempt-id'])
    this.received.push(id)
    incoming.resume()
    const expected = Number(incoming.headers['x-expect-version'] ?? this.version)
    if (expected !== this.version) {
      response.writeHead(421, { 'x-not-executed': '1', 'x-attempt-id': id }).end()
      return
    }
    this.run(id, Number(incoming.headers['last-event-id'] ?? 0), response)
  }

  /** Answers a request that it does not refuse; the caller has the events up to number `after`. */
  protected run (id: string, after: number, response: ServerResponse): void {
    this.sendAfter(this.firstEventMilliseconds, id, after, response)
  }

  /** Sends the stream after a wait: up to event number `last`, then the end of the stream or, before its last event, a reset. */
  protected sendAfter (milliseconds: number, id: string, after: number, response: ServerResponse, last = eventCount): void {
    let isDropped = false
    response.on('close', () => { isDropped = true })
    setTimeout(() => {
      if (isDropped) return
      this.begun.set(id, monotonicNow())
      response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': id, 'content-type': 'text/event-stream' })
      this.sendEvents(response, after, last)
    }, milliseconds)
  }

  private sendEvents (response: ServerResponse, sent: number, last: number): void {
    if (sent >= last) {
      if (last === eventCount) response.end()
      else response.socket?.resetAndDestroy()
      return
    }
    response.write(`id: ${sent + 1}\ndata: token\n\n`)
    setTimeout(() => { this.sendEvents(response, sent + 1, last) }, this.eventMilliseconds)
  }
}

/** What a caller got. */
export interface CallerOutcome {
  readonly status: number
  readonly body: string
  /** When it ended, milliseconds of the monotonic clock. */
  readonly endedAt: number
}

/** The log, one entry and the engines that were listed. */
export class EngineFleet {
  private readonly log = new SharedLog(dataCentre)
  private readonly engines: FakeEngine[] = []
  private entry: GroupedEntry | undefined

  /** Writes a configuration with the routes, and starts the entry. */
  async start (routes: readonly StreamRoute[]): Promise<void> {
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: routes.map(route => ({ name: prefixOf(route), host: 'a.example', 'path-prefix': prefixOf(route), 'route-type': 'stream', resumable: route.isResumable, 'timeout-ms': 6000, 'latency-goal-ms': 400, priority: 1, 'max-attempts': route.maximumUpstreams, public: true, service })),
      services: [{ name: service, 'max-conns': 80, 'engine-config': { slots: 40, layers: 16, 'model-list': [{ name: model }] } }]
    }))
    const [entry] = await startEntries(this.log, [dataCentre], 1)
    this.entry = entry
  }

  /** Starts an engine, and lists it unless it is listed later. */
  async add (engine: FakeEngine, isListed = true): Promise<FakeEngine> {
    await engine.start()
    this.engines.push(engine)
    if (isListed) this.list(engine)
    return engine
  }

  list (engine: FakeEngine, version?: number): void {
    this.log.append('instances', engine.id, engine.recordOf(version))
  }

  /** Names a version of the weights; returns when it was acknowledged, milliseconds of the monotonic clock. */
  nameVersion (version: number): number {
    this.log.append('operators', `version/${model}`, bytesOf({ 'model-id': model, version }))
    return monotonicNow()
  }

  /** Sends a request to the entry. */
  call (route: StreamRoute, id: string): Promise<CallerOutcome> {
    const [host = '', port = ''] = this.entry?.callers.split(':') ?? []
    return new Promise(resolve => {
      let body = ''
      const headers = { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '5000', 'x-model': model, 'x-token-counts': '100,4' }
      const outgoing = request({ host, port, path: `${prefixOf(route)}1`, agent: false, headers }, answer => {
        answer.on('data', (part: Buffer) => { body += part.toString() })
        answer.on('error', () => {})
        answer.on('close', () => { resolve({ status: answer.complete ? answer.statusCode ?? 0 : 0, body, endedAt: monotonicNow() }) })
      })
      outgoing.on('error', () => { resolve({ status: 0, body, endedAt: monotonicNow() }) })
      outgoing.end()
    })
  }

  async stop (): Promise<void> {
    await this.entry?.node.stop()
    for (const engine of this.engines) engine.stop()
  }
}
