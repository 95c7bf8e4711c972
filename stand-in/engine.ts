/** Stand-in of a model engine: streams tokens, has a lower concurrency limit when cold, and loads weights when ordered to. */
import { randomUUID } from 'node:crypto'
import type { Server, ServerResponse } from 'node:http'
import { manifestSchema, type EngineLine, type EngineOrder, type EngineRequest, type EngineState, type Manifest } from '../src/types/platform.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { seededRandom } from '../src/utils/random.js'
import { PrefixCache, prefixOf } from './engine-cache.js'
import { Connections, delay, listenHttp, readBody, readJson, sendJson } from './http.js'
import { discardLine, type Recorder } from './register.js'

/** Behaviour and faults, set through the control port. */
export interface EngineFaults {
  /** Milliseconds between tokens of a request that runs alone. */
  tokenMilliseconds: number
  /** Increase of the time between tokens for each further running request, as a share of `tokenMilliseconds`. */
  slowShare: number
  /** Delay before the first token when the prompt's prefix is not cached, in times between tokens. */
  prefillTokens: number
  /** Concurrency limit of a cold engine. */
  coldBound: number
  /** Concurrency limit of a warm engine. */
  fullBound: number
  /** Answers after which a cold engine is warm; the concurrency limit grows linearly until then. */
  warmAfter: number
  /** Whether orders with an older fencing token than the last one are refused. */
  checksFence: boolean
  /** A prompt that contains this text crashes the engine; empty for none. */
  crashText: string
  /** Milliseconds by which the load report is delayed. */
  loadLagMilliseconds: number
  /** Milliseconds by which cache events are delayed. */
  cacheLagMilliseconds: number
  /** Probability that a cache event is lost. */
  cacheLossShare: number
  /** Maximum number of prefixes in the cache. */
  cacheSize: number
  /** Minimum duration of a load, milliseconds; the chunks are fetched at the same time. */
  loadMilliseconds: number
  /** Probability that the answer to an order is lost after the order took effect. */
  loseOrderShare: number
  /** Digest of weights reported instead of the computed one; empty to report the computed one. */
  reportedWeights: string
  /** Probability that an answer continues with the tokens of another request. */
  crossShare: number
}

/** Statistics and records of the engine, for the checks of tests. */
export interface EngineRegister {
  /** Maximum number of requests that ran at once. */
  highestRunning: number
  /** Number of crashes because more requests ran than the concurrency limit allows. */
  overloads: number
  /** Orders accepted, in order. */
  orders: { id: string, fence: number, manifest: string }[]
  /** Requests started, with the weights that they started on; `at` is in epoch milliseconds. */
  started: { id: string, weights: string, at: number }[]
}

/** Request with whose tokens a crossed answer continues. */
const otherRequest = { id: 'another-request', prompt: 'the prompt of another request' }

/** Token `index` of the answer to `prompt` on `weights`; deterministic, so that tests can check complete answers. */
export function tokenAt (weights: string, prompt: string, index: number): string {
  return digestBytes(`${weights}/${prompt}/${index}`).slice(0, 8)
}

/** The stand-in engine; `record` receives each event, `seed` makes its faults repeatable. */
export class EngineStandIn {
  readonly behaviour: EngineFaults = {
    tokenMilliseconds: 10,
    slowShare: 0.1,
    prefillTokens: 1,
    coldBound: 2,
    fullBound: 8,
    warmAfter: 20,
    checksFence: true,
    crashText: '',
    loadLagMilliseconds: 500,
    cacheLagMilliseconds: 500,
    cacheLossShare: 0.1,
    cacheSize: 64,
    loadMilliseconds: 0,
    loseOrderShare: 0,
    reportedWeights: '',
    crossShare: 0
  }

  readonly register: EngineRegister = { highestRunning: 0, overloads: 0, orders: [], started: [] }
  readonly connections = new Connections()
  private readonly random: () => number
  private readonly cache: PrefixCache
  private state: EngineState = { incarnation: randomUUID(), weights: null, role: 'serve', loading: null, fence: -1, running: 0 }
  private answeredCount = 0
  private readonly running = new Map<string, ServerResponse>()

  constructor (private readonly name = 'engine', private readonly record: Recorder = discardLine, seed = 1) {
    this.random = seededRandom(seed)
    this.cache = new PrefixCache(this.random)
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, response, path, query) => {
      const [kind, name = ''] = path
      if (kind === 'state') return { ...this.state, running: this.running.size }
      if (kind === 'load') return await this.delayedLoad()
      if (kind === 'orders') return await this.order(await readJson<EngineOrder>(request), response)
      if (kind === 'completions' && request.method === 'DELETE') return this.cancel(name)
      if (kind === 'completions') return await this.complete(await readJson<EngineRequest>(request), response)
      if (kind === 'cache-events') return this.cache.eventsFrom(Number(query.get('from') ?? 0), this.behaviour.cacheLagMilliseconds)
      if (kind === 'kv' && request.method === 'PUT') return this.importState(name, (await readBody(request)).toString('utf8'))
      if (kind === 'kv' && this.cache.has(name)) return { prefix: name, weights: this.state.weights, state: this.cache.state(name) }
      sendJson(response, 404, { error: 'no such path' })
      return undefined
    }, this.connections)
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'crash') this.crash()
      else if (path[0] === 'silence') this.connections.makeUnresponsive()
      else if (path[0] === 'cut') this.connections.resetAll()
      else if (request.method === 'POST') Object.assign(this.behaviour, await readJson<Partial<EngineFaults>>(request))
      return { behaviour: this.behaviour, register: this.register, state: { ...this.state, running: this.running.size }, bound: this.concurrencyLimit }
    })
  }

  /** Crashes as a process does: resets every connection and restarts cold, without weights or cached prefixes. */
  crash (overload = false): void {
    if (overload) this.register.overloads += 1
    this.record({ event: 'crashed', upstream: this.name, at: Date.now(), overload })
    for (const response of this.running.values()) response.destroy()
    this.connections.resetAll()
    this.running.clear()
    this.cache.clear()
    this.answeredCount = 0
    this.state = { ...this.state, incarnation: randomUUID(), weights: null, loading: null, fence: -1 }
  }

  /** Number of running requests. */
  get runningCount (): number {
    return this.running.size
  }

  /** Number of requests above which the engine crashes; grows from `coldBound` to `fullBound` as it warms up. */
  private get concurrencyLimit (): number {
    const { coldBound, fullBound, warmAfter } = this.behaviour
    const warmth = Math.min(1, this.answeredCount / warmAfter)
    return coldBound + Math.floor(warmth * (fullBound - coldBound))
  }

  /** Time between two tokens at the current number of running requests, milliseconds. */
  private get currentTokenMilliseconds (): number {
    const { tokenMilliseconds, slowShare } = this.behaviour
    return tokenMilliseconds * (1 + slowShare * Math.max(0, this.running.size - 1))
  }

  private async delayedLoad (): Promise<unknown> {
    const report = { running: this.running.size, incarnation: this.state.incarnation }
    await delay(this.behaviour.loadLagMilliseconds)
    return report
  }

  private async complete (request: EngineRequest, response: ServerResponse): Promise<undefined> {
    const weights = this.state.weights
    if (weights === null || this.state.loading !== null) {
      sendJson(response, 503, { error: 'no weights are loaded' })
      return
    }
    this.recordStart(request, response, weights)
    const isCrashing = this.behaviour.crashText !== '' && request.prompt.includes(this.behaviour.crashText)
    if (this.running.size > this.concurrencyLimit || isCrashing) {
      this.crash(!isCrashing)
      return
    }
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    await this.stream(request, response, weights)
  }

  private recordStart (request: EngineRequest, response: ServerResponse, weights: string): void {
    const { id, prompt, resumeFrom } = request
    this.running.set(id, response)
    const at = Date.now()
    this.register.started.push({ id, weights, at })
    this.register.highestRunning = Math.max(this.register.highestRunning, this.running.size)
    this.record({ event: 'started', upstream: this.name, at, id, prompt, weights, resumeFrom, running: this.running.size, bound: this.concurrencyLimit })
  }

  /** Streams the tokens; a load during the stream changes the weights of the remaining tokens, as in a real engine. */
  private async stream (request: EngineRequest, response: ServerResponse, weights: string): Promise<undefined> {
    const prefix = prefixOf(request.prompt)
    const prefill = this.cache.has(prefix) ? 0 : this.behaviour.prefillTokens
    const isCrossed = this.random() < this.behaviour.crossShare
    await delay(this.currentTokenMilliseconds * prefill)
    for (let index = request.resumeFrom; index < request.maximumTokens; index += 1) {
      await this.waitForToken(request.priority)
      if (this.running.get(request.id) !== response || response.destroyed) return this.removeRunning(request.id, response)
      const currentWeights = this.state.weights ?? weights
      const { id, prompt } = isCrossed && index > request.resumeFrom ? otherRequest : request
      sendLine(response, { type: 'token', id, index, token: tokenAt(currentWeights, prompt, index), weights: currentWeights })
    }
    sendLine(response, { type: 'end', id: isCrossed ? otherRequest.id : request.id, tokens: request.maximumTokens, weights: this.state.weights ?? weights, reason: 'complete' })
    response.end()
    this.answeredCount += 1
    this.cache.store(prefix, `${weights}/${prefix}`, this.behaviour.cacheSize, this.behaviour.cacheLossShare)
    return this.removeRunning(request.id, response)
  }

  /** Waits for the time of one token. While others run, a request waits longer by a quarter for each level of `priority`, at most two; 0 is the most urgent. */
  private async waitForToken (priority: number): Promise<void> {
    const priorityDelay = this.running.size > 1 ? Math.min(2, Math.max(0, priority)) * 0.25 : 0
    await delay(this.currentTokenMilliseconds * (1 + priorityDelay))
  }

  private removeRunning (id: string, response: ServerResponse): undefined {
    if (this.running.get(id) === response) this.running.delete(id)
    return undefined
  }

  private cancel (id: string): unknown {
    const response = this.running.get(id)
    this.running.delete(id)
    if (response !== undefined && !response.destroyed) {
      sendLine(response, { type: 'end', id, tokens: 0, weights: this.state.weights ?? '', reason: 'cancelled' })
      response.end()
    }
    return { cancelled: response !== undefined }
  }

  private importState (prefix: string, body: string): unknown {
    const { weights, state } = JSON.parse(body) as { weights: string | null, state: string }
    const isAccepted = weights !== null && weights === this.state.weights
    if (isAccepted) this.cache.store(prefix, state, this.behaviour.cacheSize, this.behaviour.cacheLossShare)
    return { taken: isAccepted }
  }

  private async order (order: EngineOrder, response: ServerResponse): Promise<unknown> {
    const previousFence = this.state.fence
    if (this.behaviour.checksFence && order.fence < previousFence) {
      sendJson(response, 409, { error: 'the fencing number is old', fence: previousFence })
      return undefined
    }
    if (this.behaviour.checksFence) this.state = { ...this.state, fence: order.fence }
    const manifest = order.manifest ?? ''
    this.register.orders.push({ id: order.id, fence: order.fence, manifest })
    this.record({ event: 'ordered', upstream: this.name, at: Date.now(), id: order.id, fence: order.fence, manifest, previousFence })
    if (order.kind === 'role') this.state = { ...this.state, role: order.role ?? this.state.role }
    else if (!await this.load(order.source ?? '', manifest, response)) return undefined
    if (this.random() < this.behaviour.loseOrderShare) response.destroy()
    return response.destroyed ? undefined : this.state
  }

  private async load (source: string, manifest: string, response: ServerResponse): Promise<boolean> {
    const { incarnation } = this.state
    this.state = { ...this.state, loading: manifest, weights: null }
    const [computed] = await Promise.all([fetchWeightsDigest(source, manifest), delay(this.behaviour.loadMilliseconds)])
    if (this.state.incarnation !== incarnation || this.state.loading !== manifest) {
      sendJson(response, 409, { error: 'the order was overtaken' })
      return false
    }
    this.answeredCount = 0
    this.cache.clear()
    const reported = this.behaviour.reportedWeights === '' ? computed : this.behaviour.reportedWeights
    this.state = { ...this.state, loading: null, weights: reported }
    return true
  }
}

/** Fetches a manifest and its chunks; returns the digest of the manifest with the digests of the received chunks, null after a failure. */
async function fetchWeightsDigest (source: string, digest: string): Promise<string | null> {
  try {
    const manifest: Manifest = manifestSchema.parse(await (await fetch(`${source}/weights/${digest}`)).json())
    const computed: string[] = []
    for (const chunk of manifest.chunks) {
      const answer = await fetch(`${source}/chunks/${chunk}`)
      computed.push(digestBytes(new Uint8Array(await answer.arrayBuffer())))
    }
    return digestValue({ ...manifest, chunks: computed })
  } catch {
    return null
  }
}

function sendLine (response: ServerResponse, line: EngineLine): void {
  response.write(`${JSON.stringify(line)}\n`)
}
