/** Upstreams that answer with streams and end as they begin an answer on certain parts of a prompt, and what reached them. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { monotonicNow } from '../../src/utils/clock.js'

/** A request that reached an upstream; `at` in milliseconds of the monotonic clock. */
export interface Arrival {
  readonly id: string
  readonly at: number
  /** Parts of its prompt that end upstreams. */
  readonly badParts: readonly string[]
}

/** An end of an upstream; `at` in milliseconds of the monotonic clock. */
export interface UpstreamEnd {
  readonly at: number
  readonly badParts: readonly string[]
}

/** Settings of the upstreams. */
export interface CrashingUpstreamSettings {
  /** Ids of the parts that end each upstream which begins an answer on them. */
  readonly badParts: ReadonlySet<string>
  /** Time from a request's arrival to its first event, and between two events, milliseconds. */
  readonly firstEventMilliseconds: number
  readonly eventMilliseconds: number
  readonly events: number
  /** Time after which an ended upstream is back, milliseconds. */
  readonly restartMilliseconds: number
  /** Writes the record of an upstream; `address` undefined removes it. */
  readonly writeRecord: (id: string, address: string | undefined, startedAt: number) => void
}

/** Ids of the parts of a request's prompt except the last, which never ends upstreams. */
function partsOf (incoming: IncomingMessage): readonly string[] {
  return String(incoming.headers['x-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0] ?? '').slice(0, -1)
}

/** One machine that runs one upstream after another. */
class UpstreamSlot {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private incarnation = 0
  private port = 0
  private isStopped = false
  private restartTimer: NodeJS.Timeout | undefined

  constructor (private readonly name: string, private readonly settings: CrashingUpstreamSettings, private readonly arrivals: Arrival[], private readonly ends: UpstreamEnd[]) {
    this.server = createServer((incoming, response) => { this.serve(incoming, response) })
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(this.port, '127.0.0.1', resolve) })
    if (this.isStopped) {
      this.server.close()
      return
    }
    this.port = (this.server.address() as AddressInfo).port
    this.incarnation += 1
    this.settings.writeRecord(this.id, `127.0.0.1:${this.port}`, Date.now())
  }

  /** Ends without a word to its callers, and is back after a while under another id. */
  end (): void {
    this.close()
    this.settings.writeRecord(this.id, undefined, 0)
    this.restartTimer = setTimeout(() => { this.start().catch(() => {}) }, this.settings.restartMilliseconds)
  }

  stop (): void {
    this.isStopped = true
    clearTimeout(this.restartTimer)
    this.close()
  }

  private get id (): string {
    return `${this.name}-${this.incarnation}`
  }

  private close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  private serve (incoming: IncomingMessage, response: ServerResponse): void {
    const { incarnation } = this
    const id = String(incoming.headers['x-attempt-id'])
    const badParts = partsOf(incoming).filter(part => this.settings.badParts.has(part))
    this.arrivals.push({ id, at: monotonicNow(), badParts })
    incoming.resume()
    setTimeout(() => {
      if (this.incarnation !== incarnation || response.destroyed) return
      if (badParts.length === 0) {
        this.sendEvents(response, id)
        return
      }
      this.ends.push({ at: monotonicNow(), badParts })
      this.end()
    }, this.settings.firstEventMilliseconds)
  }

  private sendEvents (response: ServerResponse, id: string): void {
    response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': id })
    const send = (number: number): void => {
      if (response.destroyed) return
      response.write(`id: ${number}\ndata: text\n\n`)
      if (number === this.settings.events) response.end()
      else setTimeout(() => { send(number + 1) }, this.settings.eventMilliseconds)
    }
    send(1)
  }
}

/** A number of upstreams. */
export class CrashingUpstreams {
  /** Requests that reached upstreams, each time they did. */
  readonly arrivals: Arrival[] = []
  /** Ends of upstreams because of a part. */
  readonly ends: UpstreamEnd[] = []
  private readonly slots: readonly UpstreamSlot[]

  constructor (count: number, settings: CrashingUpstreamSettings) {
    this.slots = Array.from({ length: count }, (_, index) => new UpstreamSlot(`i-${index}`, settings, this.arrivals, this.ends))
  }

  async start (): Promise<void> {
    await Promise.all(this.slots.map(slot => slot.start()))
  }

  stop (): void {
    for (const slot of this.slots) slot.stop()
  }

  /** Times of the ends because of a part. */
  endTimesOf (part: string): readonly number[] {
    return this.ends.flatMap(({ at, badParts }) => badParts.includes(part) ? [at] : [])
  }

  /** Number of requests with a part that arrived later than a time, milliseconds of the monotonic clock. */
  arrivalsAfter (part: string, time: number): number {
    return this.arrivals.filter(({ at, badParts }) => badParts.includes(part) && at > time).length
  }
}
