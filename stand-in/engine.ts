/** Stand-in of a model engine: streams tokens, bears little when cold, loads weights by order. */
import { randomUUID } from 'node:crypto'
import type { Server, ServerResponse } from 'node:http'
import { manifestSchema, type EngineLine, type EngineOrder, type EngineRequest, type EngineState, type Manifest } from '../src/types/platform.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { listenHttp, readJson, sendJson } from './http.js'

/** Behaviour and faults that the control port sets. */
export interface EngineFaults {
  /** Milliseconds between tokens. */
  tokenMilliseconds: number
  /** Requests that a cold engine bears; one more makes it fall over. */
  coldBound: number
  /** Requests that a warm engine bears. */
  fullBound: number
  /** Answers after which a cold engine is warm. */
  warmAfter: number
  /** Whether orders with an old fencing number are refused. */
  checksFence: boolean
  /** A prompt that contains this text crashes the engine; empty for none. */
  crashText: string
}

/** What the engine recorded, for the judges of tests. */
export interface EngineRegister {
  highestRunning: number
  /** Times the engine fell over from too much work. */
  overloads: number
  /** Every order carried out. */
  orders: { id: string, fence: number, manifest: string }[]
  /** Request ids started, with the weights they ran on. */
  started: { id: string, weights: string, at: number }[]
}

/** Token `index` of the answer to `prompt` on `weights`: anybody can check a whole answer. */
export function tokenAt (weights: string, prompt: string, index: number): string {
  return digestBytes(`${weights}/${prompt}/${index}`).slice(0, 8)
}

/** The engine. */
export class EngineStandIn {
  readonly behaviour: EngineFaults = { tokenMilliseconds: 10, coldBound: 2, fullBound: 8, warmAfter: 10, checksFence: true, crashText: '' }
  readonly register: EngineRegister = { highestRunning: 0, overloads: 0, orders: [], started: [] }
  private state: EngineState = { incarnation: randomUUID(), weights: null, role: 'serve', loading: null, fence: -1, running: 0 }
  private answered = 0
  private readonly running = new Map<string, ServerResponse>()

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, response, path) => {
      if (path[0] === 'state') return { ...this.state, running: this.running.size }
      if (path[0] === 'load') return { running: this.running.size, incarnation: this.state.incarnation }
      if (path[0] === 'orders') return await this.order(await readJson<EngineOrder>(request), response)
      if (path[0] === 'completions' && request.method === 'DELETE') return this.cancel(path[1] ?? '')
      if (path[0] === 'completions') return await this.complete(await readJson<EngineRequest>(request), response)
      sendJson(response, 404, { error: 'no such path' })
      return undefined
    })
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'crash') this.crash()
      else if (request.method === 'POST') Object.assign(this.behaviour, await readJson<Partial<EngineFaults>>(request))
      return { behaviour: this.behaviour, register: this.register, state: this.state }
    })
  }

  /** Falls over: every running answer is cut and the engine starts anew, cold and empty. */
  crash (): void {
    for (const response of this.running.values()) response.destroy()
    this.running.clear()
    this.answered = 0
    this.state = { ...this.state, incarnation: randomUUID(), weights: null, loading: null, fence: -1 }
  }

  private bound (): number {
    return this.answered < this.behaviour.warmAfter ? this.behaviour.coldBound : this.behaviour.fullBound
  }

  private async complete (request: EngineRequest, response: ServerResponse): Promise<undefined> {
    const weights = this.state.weights
    if (weights === null || this.state.loading !== null) {
      sendJson(response, 503, { error: 'no weights are loaded' })
      return
    }
    this.running.set(request.id, response)
    this.register.started.push({ id: request.id, weights, at: Date.now() })
    this.register.highestRunning = Math.max(this.register.highestRunning, this.running.size)
    const crashing = this.behaviour.crashText !== '' && request.prompt.includes(this.behaviour.crashText)
    if (this.running.size > this.bound() || crashing) {
      if (!crashing) this.register.overloads += 1
      this.crash()
      return
    }
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    await this.stream(request, response, weights)
  }

  private async stream (request: EngineRequest, response: ServerResponse, weights: string): Promise<undefined> {
    for (let index = request.resumeFrom; index < request.maximumTokens; index += 1) {
      await new Promise(resolve => setTimeout(resolve, this.behaviour.tokenMilliseconds))
      if (this.running.get(request.id) !== response || response.destroyed) return this.forget(request.id, response)
      sendLine(response, { type: 'token', id: request.id, index, token: tokenAt(weights, request.prompt, index), weights })
    }
    sendLine(response, { type: 'end', id: request.id, tokens: request.maximumTokens, weights, reason: 'complete' })
    response.end()
    this.answered += 1
    return this.forget(request.id, response)
  }

  private forget (id: string, response: ServerResponse): undefined {
    if (this.running.get(id) === response) this.running.delete(id)
    return undefined
  }

  private cancel (id: string): unknown {
    const response = this.running.get(id)
    this.running.delete(id)
    response?.end()
    return { cancelled: response !== undefined }
  }

  private async order (order: EngineOrder, response: ServerResponse): Promise<unknown> {
    if (this.behaviour.checksFence && order.fence < this.state.fence) {
      sendJson(response, 409, { error: 'the fencing number is old', fence: this.state.fence })
      return undefined
    }
    if (this.behaviour.checksFence) this.state = { ...this.state, fence: order.fence }
    if (order.kind === 'role') {
      this.state = { ...this.state, role: order.role ?? this.state.role }
      return this.state
    }
    return await this.load(order, response)
  }

  private async load (order: EngineOrder, response: ServerResponse): Promise<unknown> {
    const { incarnation } = this.state
    const manifest = order.manifest ?? ''
    this.state = { ...this.state, loading: manifest, weights: null }
    const computed = await drawWeights(order.source ?? '', manifest)
    if (this.state.incarnation !== incarnation || this.state.loading !== manifest) {
      sendJson(response, 409, { error: 'the order was overtaken' })
      return undefined
    }
    this.answered = 0
    this.state = { ...this.state, loading: null, weights: computed }
    this.register.orders.push({ id: order.id, fence: order.fence, manifest })
    return this.state
  }
}

async function drawWeights (source: string, digest: string): Promise<string | null> {
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
