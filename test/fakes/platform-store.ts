/** Stand-in of the platform's store over HTTP: `log-read`, `log-newest` and `log-append`, with answers that are slow, cut short or missing. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { frameRecord, parseRead } from '../../platform/framing.js'

/**
 * Fault of the answers of one topic. `silent` sends nothing, `stalled` nothing after some bytes of the body, and `cut` closes
 * the connection there; `slow` sends the body at a rate.
 */
export type StoreFault =
  | { readonly kind: 'silent' }
  | { readonly kind: 'stalled', readonly afterBytes: number }
  | { readonly kind: 'cut', readonly afterBytes: number }
  | { readonly kind: 'slow', readonly bytesPerSecond: number }

interface StoredValue { readonly key: string, readonly value: Buffer | undefined }

interface Topic {
  readonly records: StoredValue[]
  /** Oldest offset that is still retained. */
  first: number
}

const defaultFetchLimit = 1024
const maximumEntries = 500
/** Size of the header that precedes the records of an answer. */
const readHeaderBytes = 16
/** Pace at which a slow answer is sent, milliseconds. */
const sliceMilliseconds = 20

/** The store; listens on a free port of the loopback interface until `close`. */
export class PlatformStoreStandIn {
  /** Fault of the answers of each topic. */
  readonly faults = new Map<string, StoreFault>()
  /** Path and query of each call, in order of arrival. */
  readonly calls: string[] = []
  /** Bytes of answer bodies sent, by topic. */
  readonly sentBytes = new Map<string, number>()
  /** Number of connections accepted so far. */
  connections = 0
  /** Largest number of entries in one page of `log-newest`. */
  entriesPerPage = maximumEntries
  /** Called before each page of `log-newest`, with the number of pages sent so far. */
  beforePage: (page: number) => void = () => {}
  /** Text of the header with the era; undefined to leave it out. */
  era: string | undefined
  private pages = 0
  private readonly topics = new Map<string, Topic>()
  private readonly waiting = new Set<() => void>()
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  private constructor () {
    this.server = createServer((incoming, response) => { this.answer(incoming, response) })
    this.server.on('connection', socket => {
      this.connections += 1
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => { this.sockets.delete(socket) })
    })
  }

  static async start (): Promise<PlatformStoreStandIn> {
    const store = new PlatformStoreStandIn()
    await new Promise<void>((resolve, reject) => {
      store.server.once('error', reject)
      store.server.listen(0, '127.0.0.1', resolve)
    })
    return store
  }

  /** Address, `ip:port`. */
  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Appends a record, ends the waits of reads and returns its offset; without a value the key is removed. */
  append (topic: string, key: string, value: Buffer | undefined): number {
    const { records, first } = this.topicOf(topic)
    const offset = first + records.push({ key, value }) - 1
    for (const wake of [...this.waiting]) wake()
    return offset
  }

  /** Deletes the records before `offset`; the newest record of each key remains readable by `log-newest` only where it is retained. */
  trim (topic: string, offset: number): void {
    const stored = this.topicOf(topic)
    stored.records.splice(0, offset - stored.first)
    stored.first = offset
  }

  /** Comes back from a copy that holds the records of a topic before the offset `end`, in a new era: connections end, and later offsets are given out again. */
  comeBackFromCopy (topic: string, end: number): void {
    const { records, first } = this.topicOf(topic)
    records.splice(end - first)
    this.era = String(Number(this.era ?? 0) + 1)
    for (const socket of this.sockets) socket.destroy()
  }

  close (): void {
    for (const wake of [...this.waiting]) wake()
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private topicOf (name: string): Topic {
    const topic = this.topics.get(name) ?? { records: [], first: 0 }
    this.topics.set(name, topic)
    return topic
  }

  private answer (incoming: IncomingMessage, response: ServerResponse): void {
    const url = new URL(incoming.url ?? '/', 'http://store')
    const topic = url.searchParams.get('topic') ?? ''
    this.calls.push(incoming.url ?? '')
    if (this.era !== undefined) response.setHeader('store-era', this.era)
    if (this.faults.get(topic)?.kind === 'silent') return
    if (url.pathname === '/log-read') this.read(topic, url.searchParams, response)
    else if (url.pathname === '/log-newest') this.send(topic, this.newest(topic, url.searchParams), response)
    else if (url.pathname === '/log-append') this.appendFrames(topic, incoming, response)
    else response.writeHead(404).end()
  }

  private appendFrames (topic: string, incoming: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    incoming.on('data', (part: Buffer) => { parts.push(part) })
    incoming.on('end', () => {
      const header = Buffer.alloc(readHeaderBytes)
      const { records } = parseRead(Buffer.concat([header, ...parts]), 0)
      for (const { key, value } of records) this.append(topic, key, value)
      response.writeHead(200).end()
    })
  }

  private read (topic: string, query: URLSearchParams, response: ServerResponse): void {
    const from = Number(query.get('from'))
    const { records, first } = this.topicOf(topic)
    if (from < first || from > first + records.length) {
      response.writeHead(410).end(JSON.stringify({ 'first-offset': first }))
      return
    }
    const limit = Number(query.get('fetch-limit') ?? defaultFetchLimit)
    const finish = (): void => {
      clearTimeout(timer)
      this.waiting.delete(finish)
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(first + records.length), 0)
      head.writeBigUInt64BE(BigInt(first), 8)
      const frames = records.slice(from - first, from - first + limit).map(({ key, value }) => frameRecord(key, value ?? Buffer.alloc(0)))
      this.send(topic, Buffer.concat([head, ...frames]), response)
    }
    const timer = setTimeout(finish, Number(query.get('wait-ms') ?? 0))
    if (from < first + records.length) finish()
    else this.waiting.add(finish)
  }

  private newest (topic: string, query: URLSearchParams): Buffer {
    this.beforePage(this.pages)
    this.pages += 1
    const { records, first } = this.topicOf(topic)
    const after = query.get('after') ?? ''
    const newest = new Map(records.map(({ key, value }, index) => [key, { key, value, offset: first + index }]))
    const entries = [...newest.values()]
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1)
    const page = entries.slice(0, this.entriesPerPage).map(({ key, value, offset }) => ({ key, value: value?.toString('base64'), offset }))
    return Buffer.from(JSON.stringify({ entries: page, 'has-more': entries.length > page.length, 'end-offset': first + records.length }))
  }

  private send (topic: string, body: Buffer, response: ServerResponse): void {
    const fault = this.faults.get(topic)
    response.writeHead(200, { 'content-length': body.length })
    if (fault?.kind === 'slow') {
      this.sendSlowly(topic, body, fault.bytesPerSecond, response)
      return
    }
    const end = fault?.kind === 'stalled' || fault?.kind === 'cut' ? fault.afterBytes : body.length
    this.countSent(topic, Math.min(end, body.length))
    if (end >= body.length) response.end(body)
    else response.write(body.subarray(0, end), () => { if (fault?.kind === 'cut') response.destroy() })
  }

  private sendSlowly (topic: string, body: Buffer, bytesPerSecond: number, response: ServerResponse): void {
    const sliceBytes = Math.max(1, Math.round(bytesPerSecond * sliceMilliseconds / 1000))
    let sent = 0
    const timer = setInterval(() => {
      const slice = body.subarray(sent, sent + sliceBytes)
      sent += slice.length
      this.countSent(topic, slice.length)
      response.write(slice)
      if (sent < body.length) return
      clearInterval(timer)
      response.end()
    }, sliceMilliseconds)
    response.once('close', () => { clearInterval(timer) })
  }

  private countSent (topic: string, bytes: number): void {
    this.sentBytes.set(topic, (this.sentBytes.get(topic) ?? 0) + bytes)
  }
}
