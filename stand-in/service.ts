/** Stand-in of a plain service (ledger, booking, portal): executes operations and records them. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { digestBytes } from '../src/utils/digest.js'
import { seededRandom } from '../src/utils/random.js'
import { Connections, delay, listenHttp, readBody, readJson } from './http.js'
import { discardLine, type Recorder } from './register.js'

/** Behaviour and faults, set through the control port. */
export interface ServiceFaults {
  /** Duration of an operation, milliseconds. */
  workMilliseconds: number
  /** Whether every answer is lost after the operation ran. */
  loseAnswers: boolean
  /** Probability that the answer is lost after the operation ran. */
  loseShare: number
  /** A body that contains this text crashes the service after it ran; empty for none. */
  crashText: string
  /** Probability that the answer is that of another request, in its header and its body. */
  crossShare: number
}

/** One operation that ran; `at` is its start in epoch milliseconds. */
export interface ExecutedOperation { readonly id: string, readonly key: string, readonly operation: string, readonly at: number }

/** The stand-in service; `record` receives each event, `seed` makes its faults repeatable. */
export class ServiceStandIn {
  readonly behaviour: ServiceFaults = { workMilliseconds: 5, loseAnswers: false, loseShare: 0, crashText: '', crossShare: 0 }
  readonly register: ExecutedOperation[] = []
  private readonly connections = new Connections()
  private readonly random: () => number
  private incarnation: string = randomUUID()
  private running = 0
  /** Maximum number of operations that ran at once. */
  highestRunning = 0

  constructor (private readonly name = 'service', private readonly record: Recorder = discardLine, seed = 1) {
    this.random = seededRandom(seed)
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, response, path) => {
      if (path[0] === 'load') return { running: this.running, incarnation: this.incarnation }
      return await this.run(request, response, path[1] ?? '')
    }, this.connections)
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, _response, path) => {
      if (path[0] === 'crash') this.crash()
      else if (path[0] === 'silence') this.connections.makeUnresponsive()
      else if (path[0] === 'cut') this.connections.resetAll()
      else if (request.method === 'POST') Object.assign(this.behaviour, await readJson<Partial<ServiceFaults>>(request))
      return { behaviour: this.behaviour, register: this.register, highestRunning: this.highestRunning }
    })
  }

  /** Crashes and restarts: resets every connection and takes a new incarnation. */
  crash (): void {
    this.incarnation = randomUUID()
    this.record({ event: 'crashed', upstream: this.name, at: Date.now(), overload: false })
    this.connections.resetAll()
  }

  private async run (request: IncomingMessage, response: ServerResponse, operation: string): Promise<unknown> {
    const id = String(request.headers['pollendyke-request-id'] ?? '')
    const key = String(request.headers['idempotency-key'] ?? '')
    const bytes = await readBody(request)
    const body = digestBytes(bytes)
    const at = Date.now()
    this.running += 1
    this.highestRunning = Math.max(this.highestRunning, this.running)
    this.register.push({ id, key, operation, at })
    this.record({ event: 'ran', upstream: this.name, at, id, key, operation, body })
    await delay(this.behaviour.workMilliseconds)
    this.running -= 1
    const { loseAnswers, loseShare, crashText } = this.behaviour
    if (crashText !== '' && bytes.includes(crashText)) this.crash()
    if (loseAnswers || this.random() < loseShare) response.destroy()
    if (response.destroyed) return undefined
    const answered = this.random() < this.behaviour.crossShare ? { id: 'another-request', operation, body: digestBytes('the body of another request') } : { id, operation, body }
    response.setHeader('pollendyke-request-id', answered.id)
    return answered
  }
}
