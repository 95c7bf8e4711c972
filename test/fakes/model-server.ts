/** Stand-in of a model server over HTTP: staged chunks, late orders, crashes and loss of power; it judges what a load takes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { parseObject } from '../../platform/json.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'
import { listenOn } from '../../src/transports/http-listen.js'
import { digestBytes } from '../../src/utils/digest.js'

/** Time for which a chunk may be wrong when it is taken, milliseconds. */
const toleranceMilliseconds = 3000
const loadMilliseconds = 200

export const model = 'badge'

/** Size of a chunk, bytes. */
const chunkBytes = 1 << 17
/** Bytes at the start of a chunk that tell its version and position. */
const headBytes = 64

/** The chunk at a position of a version. */
export function chunkOf (version: number, position: number): Buffer {
  return Buffer.concat([Buffer.from(`version ${version} chunk ${position} `)], chunkBytes)
}

/** A call that has arrived at a model server and is not answered yet. */
export interface EngineCall {
  readonly kind: 'report' | 'list' | 'read' | 'put' | 'order'
  /** Position of the chunk; -1 for calls of other kinds. */
  readonly position: number
  /** Version of an order; 0 for other calls. */
  readonly version: number
  /** Connection on which it came. */
  readonly socket: Socket
}

/** A load that was accepted. */
export interface AcceptedLoad {
  readonly version: number
  /** Positions that had been missing, corrupt or of another version for longer than allowed. */
  readonly wrong: readonly number[]
  /** Positions that held the chunk of another version, for however long. */
  readonly otherVersion: readonly number[]
}

/** Behaviour of a model server. */
export interface ModelServerOptions {
  readonly chunkCount: number
  /** Time until a call is answered, milliseconds. */
  readonly answerMilliseconds: (call: EngineCall) => number
  /** Time from the arrival of an order until it is accepted, milliseconds; it is accepted even if its caller is gone. */
  readonly acceptMilliseconds: (version: number) => number
  /** Called when a call arrives, before it has an effect. */
  readonly onCall: (call: EngineCall) => void
  /** Called when an answer was written, before its caller can have handled it. */
  readonly onAnswered: (call: EngineCall) => void
}

/** A model server that serves version 1, which is also staged. */
export class ModelServer {
  /** Loads in the order in which they were accepted. */
  readonly accepted: AcceptedLoad[] = []
  /** Orders that have arrived and are neither accepted nor refused. */
  pendingOrders = 0
  /** What is served; undefined after a restart. */
  loaded: AcceptedLoad | undefined = { version: 1, wrong: [], otherVersion: [] }
  private readonly staged = new Map<number, Buffer>()
  /** Until when a position has held the chunk of a version, by `version/position`, milliseconds of the monotonic clock. */
  private readonly validUntil = new Map<string, number>()
  private readonly sockets = new Set<Socket>()
  private readonly server: Server
  private born = Date.now()
  private sequence = 0
  private isLoading = false

  constructor (readonly address: string, private readonly options: ModelServerOptions) {
    for (let position = 0; position < options.chunkCount; position += 1) this.staged.set(position, chunkOf(1, position))
    this.server = createServer((incoming, response) => { this.receive(incoming, response).catch(() => { response.destroy() }) })
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => { this.sockets.delete(socket) })
    })
  }

  async listen (): Promise<void> {
    await listenOn(this.server, this.address)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Whether every staged chunk is the one of a version. */
  isStaged (version: number): boolean {
    return this.positions.every(position => this.stagedVersion(position) === version)
  }

  /** Whether a staged chunk is corrupt. */
  get hasCorrupt (): boolean {
    return this.positions.some(position => this.staged.has(position) && this.stagedVersion(position) === undefined)
  }

  /** The staged chunk at a position turns bad. */
  corrupt (position: number): void {
    this.replace(position, Buffer.from('corrupt'))
  }

  /**
   * The server ends and starts again at once under its address: it has no weights, and its number of orders is 0. Orders
   * that are not accepted are lost, except the one that arrives on `kept`: it comes to the server that has just started.
   */
  restart (staged: 'kept' | 'lost', kept?: Socket): void {
    this.born = Math.max(this.born + 1, Date.now())
    this.sequence = 0
    this.loaded = undefined
    this.isLoading = false
    this.pendingOrders = 0
    if (staged === 'lost') for (const position of this.positions) this.replace(position, undefined)
    for (const socket of this.sockets) if (socket !== kept) socket.resetAndDestroy()
  }

  private get positions (): readonly number[] {
    return Array.from({ length: this.options.chunkCount }, (_, position) => position)
  }

  private replace (position: number, bytes: Buffer | undefined): void {
    const version = this.stagedVersion(position)
    if (version !== undefined) this.validUntil.set(`${version}/${position}`, monotonicNow())
    if (bytes === undefined) this.staged.delete(position)
    else this.staged.set(position, bytes)
  }

  private async receive (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const parts: Buffer[] = []
    for await (const part of incoming) parts.push(part as Buffer)
    const body = Buffer.concat(parts)
    const url = new URL(incoming.url ?? '', 'http://engine')
    const position = Number(url.searchParams.get('sample-count') ?? -1)
    const order = url.pathname === '/order' ? parseObject(body) ?? {} : {}
    const kind = url.pathname === '/order' ? 'order' : url.pathname === '/report' ? 'report' : incoming.method === 'PUT' ? 'put' : position === -1 ? 'list' : 'read'
    const call: EngineCall = { kind, position, version: Number(order['version'] ?? 0), socket: incoming.socket }
    if (kind === 'order') await this.order(call, Number(order['precondition']), response)
    else await this.answer(call, body, response)
    this.options.onAnswered(call)
  }

  private async answer (call: EngineCall, body: Buffer, response: ServerResponse): Promise<void> {
    const { kind, position } = call
    const chunk = this.staged.get(position)
    this.options.onCall(call)
    if (kind === 'put') this.replace(position, body)
    const answerMilliseconds = this.options.answerMilliseconds(call)
    if (answerMilliseconds > 0) await sleepUntil(monotonicNow() + answerMilliseconds)
    if (kind === 'report') response.end(JSON.stringify(this.report()))
    else if (kind === 'list') response.end(JSON.stringify({ held: [...this.staged.keys()] }))
    else if (kind === 'put') response.end()
    else if (chunk === undefined) response.writeHead(404).end()
    else response.end(chunk)
  }

  private report (): object {
    const { loaded } = this
    const weights = loaded === undefined ? { 'model-list': [], layers: { from: 0, target: 0, version: 0 } } : { 'model-list': [{ name: model, version: loaded.version, 'adapter-list': [] }], layers: { from: 0, target: 4, version: loaded.version } }
    return { born: this.born, phase: 'both', ...weights, busy: this.isLoading, sequence: this.sequence, queued: 0, active: 0 }
  }

  private async order (call: EngineCall, precondition: number, response: ServerResponse): Promise<void> {
    this.options.onCall(call)
    if (call.socket.destroyed) return
    const { born } = this
    this.pendingOrders += 1
    const acceptMilliseconds = this.options.acceptMilliseconds(call.version)
    if (acceptMilliseconds > 0) await sleepUntil(monotonicNow() + acceptMilliseconds)
    if (this.born !== born) {
      response.destroy()
      return
    }
    this.pendingOrders -= 1
    response.writeHead(this.accept(call.version, precondition)).end()
  }

  private accept (version: number, precondition: number): number {
    if (this.isLoading || precondition !== this.sequence) return 409
    if (this.loaded?.version === version) return 200
    const load = this.judge(version)
    const { born } = this
    this.sequence += 1
    this.accepted.push(load)
    this.isLoading = true
    setTimeout(() => {
      if (this.born !== born) return
      this.loaded = load
      this.isLoading = false
    }, loadMilliseconds)
    return 202
  }

  private judge (version: number): AcceptedLoad {
    const since = monotonicNow() - toleranceMilliseconds
    const wrong = this.positions.filter(position => this.stagedVersion(position) !== version)
    return {
      version,
      wrong: wrong.filter(position => (this.validUntil.get(`${version}/${position}`) ?? -Infinity) < since),
      otherVersion: wrong.filter(position => this.stagedVersion(position) !== undefined)
    }
  }

  /** Version of the chunk that is staged at a position; undefined if it is missing or corrupt. */
  private stagedVersion (position: number): number | undefined {
    const version = /^version (\d+) chunk (\d+) /.exec(this.staged.get(position)?.toString('latin1', 0, headBytes) ?? '')
    return version === null || Number(version[2]) !== position ? undefined : Number(version[1])
  }
}

/** Origin of weights over HTTP, which has every version. */
export class OriginServer {
  private readonly server = createServer((incoming, response) => { this.answer(new URL(incoming.url ?? '', 'http://origin'), response) })

  constructor (readonly address: string, private readonly chunkCount: number) {}

  async listen (): Promise<void> {
    await listenOn(this.server, this.address)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private answer (url: URL, response: ServerResponse): void {
    const version = Number(url.searchParams.get('version'))
    if (url.pathname === `/piece/${model}`) response.end(chunkOf(version, Number(url.searchParams.get('sample-count'))))
    else response.end(JSON.stringify({ 'model-id': model, version, digests: Array.from({ length: this.chunkCount }, (_, position) => digestBytes(chunkOf(version, position))) }))
  }
}
