/** Stand-in of the platform's append-only log: streams with offsets, a rate limit for appends, expiry, outages and lost answers. */
import type { Server } from 'node:http'
import type { StoredRecord, StreamPage } from '../src/types/platform.js'
import { seededRandom } from '../src/utils/random.js'
import { Connections, listenHttp, readJson, sendJson, type Handler } from './http.js'

/** Faults and limits, set through the control port. */
export interface LogFaults {
  /** Whether every request is answered with status 503. */
  outage: boolean
  /** Probability that an append takes effect and its answer is lost. */
  loseAnswers: number
  /** Probability that the answer to a read is lost. */
  loseReads: number
  /** Delay of every answer, milliseconds. */
  delayMilliseconds: number
  /** Maximum appends per second of all streams together; further ones are answered with status 429. */
  appendsPerSecond: number
  /** Age at which records expire, milliseconds. */
  keepMilliseconds: number
}

/** One stream: `first` is the offset of its oldest record, `waiting` holds the callbacks of reads that wait for an append. */
interface Stream { first: number, readonly records: StoredRecord[], readonly waiting: Set<() => void> }

const defaultAppendsPerSecond = 300

/** The stand-in log; `seed` makes its faults repeatable, `keepMilliseconds` is the age at which records expire. */
export class LogStandIn {
  readonly faults: LogFaults
  private readonly streams = new Map<string, Stream>()
  private readonly random: () => number
  private tokens = defaultAppendsPerSecond
  private readonly connections = new Connections()
  private refilledAt = Date.now()
  /** Number of appends accepted since the start. */
  appends = 0

  constructor (seed = 1, keepMilliseconds = 3_600_000) {
    this.random = seededRandom(seed)
    this.faults = { outage: false, loseAnswers: 0, loseReads: 0, delayMilliseconds: 0, appendsPerSecond: defaultAppendsPerSecond, keepMilliseconds }
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, this.handle, this.connections)
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'silence') this.connections.makeUnresponsive()
      else if (path[0] === 'cut') this.connections.resetAll()
      else if (path[0] === 'expire') this.expire(path[1] ?? '', Number(path[2] ?? 0))
      else if (request.method === 'POST') Object.assign(this.faults, await readJson<Partial<LogFaults>>(request))
      return { ...this.faults, appends: this.appends }
    })
  }

  /** Deletes the records of a stream before `offset`, as expiry does. */
  expire (name: string, offset: number): void {
    const stream = this.streamOf(name)
    const count = Math.max(0, Math.min(offset - stream.first, stream.records.length))
    stream.records.splice(0, count)
    stream.first += count
  }

  private readonly handle: Handler = async (request, response, path, query) => {
    if (this.faults.delayMilliseconds > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMilliseconds))
    if (this.faults.outage) {
      sendJson(response, 503, { error: 'the log is out' })
      return undefined
    }
    const [, name] = path
    if (path[0] !== 'streams' || name === undefined || path[2] !== 'records') {
      sendJson(response, 404, { error: 'no such path' })
      return undefined
    }
    if (request.method === 'POST') {
      const { records } = await readJson<{ records: string[] }>(request)
      if (!this.takeToken()) {
        sendJson(response, 429, { error: 'too many appends' })
        return undefined
      }
      const offsets = this.append(name, records)
      if (this.random() < this.faults.loseAnswers) {
        request.socket.destroy()
        return undefined
      }
      return { offsets }
    }
    const page = await this.read(name, Number(query.get('from') ?? 0), Number(query.get('wait') ?? 0), Number(query.get('limit') ?? 1000))
    if (this.random() >= this.faults.loseReads && !this.faults.outage) return page
    request.socket.destroy()
    return undefined
  }

  private append (name: string, bodies: readonly string[]): readonly number[] {
    const stream = this.streamOf(name)
    this.appends += 1
    const offsets = bodies.map(body => {
      const offset = stream.first + stream.records.length
      stream.records.push({ offset, at: Date.now(), body })
      return offset
    })
    for (const wake of stream.waiting) wake()
    return offsets
  }

  private async read (name: string, from: number, wait: number, limit: number): Promise<StreamPage> {
    const stream = this.streamOf(name)
    this.expireByAge(stream)
    if (wait > 0 && from >= stream.first + stream.records.length) await this.waitForAppend(stream, wait)
    const start = Math.max(0, from - stream.first)
    return { first: stream.first, next: stream.first + stream.records.length, records: stream.records.slice(start, start + limit) }
  }

  private waitForAppend (stream: Stream, wait: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        stream.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, wait)
      stream.waiting.add(wake)
    })
  }

  private expireByAge (stream: Stream): void {
    const oldest = Date.now() - this.faults.keepMilliseconds
    while (stream.records[0] !== undefined && stream.records[0].at < oldest) {
      stream.records.shift()
      stream.first += 1
    }
  }

  private takeToken (): boolean {
    const now = Date.now()
    const { appendsPerSecond } = this.faults
    this.tokens = Math.min(appendsPerSecond, this.tokens + (now - this.refilledAt) / 1000 * appendsPerSecond)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  private streamOf (name: string): Stream {
    let stream = this.streams.get(name)
    if (stream === undefined) {
      stream = { first: 0, records: [], waiting: new Set() }
      this.streams.set(name, stream)
    }
    return stream
  }
}
