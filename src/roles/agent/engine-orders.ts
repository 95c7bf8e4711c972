/** Orders to the engine: one at a time, behind a closed gate, with a fencing number, each settled by reading the engine's state. */
import { randomUUID } from 'node:crypto'
import { needsLoadOrder, servedWeights, type EngineView } from '../../core/engine-orders.js'
import { requestJson } from '../../transports/http-client.js'
import type { EngineOrder, EngineState } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { InstanceLease } from './lease.js'

const log = logFor('orders')
const pollIntervalMilliseconds = 200
const drainPollMilliseconds = 20
const orderTimeoutMilliseconds = 60_000

/** What the orders need of the agent. */
export interface EngineOrdersHost {
  readonly upstream: string
  /** Base URL from which the engine draws chunks. */
  readonly source: string
  /** Manifest digest wanted, empty for none. */
  readonly wanted: string
  /** Whether every chunk of the wanted weights is held and verified. */
  readonly isComplete: boolean
  /** Requests that wait or run on the engine. */
  readonly unfinished: number
  /** Whether this instance may be away for a change of weights now. */
  maySwap (): boolean
  /** Asks the engine for its state; the answer reaches `take`. */
  probe (): Promise<void>
  /** Refuses whatever waits, because the gate has closed. */
  refuseWaiting (): void
  changed (): void
}

/** Keeps the engine on the wanted weights and says what may be served. */
export class EngineOrders {
  private engine: EngineState | undefined
  private isSwapping = false
  private readonly stopping = new AbortController()

  constructor (private readonly host: EngineOrdersHost, private readonly lease: InstanceLease) {}

  start (): void {
    this.lease.start()
    runInBackground(this.watch(), log, 'watch the engine')
  }

  stop (): void {
    this.lease.stop()
    this.stopping.abort()
  }

  /** Digest that requests may use now, empty while the gate is closed. */
  get served (): string {
    return this.lease.isSuperseded ? '' : servedWeights(this.view)
  }

  /** Takes a state that the engine reported; undefined when it could not be asked. */
  recordEngineState (engine: EngineState | undefined): void {
    this.engine = engine
  }

  private get view (): EngineView {
    return { wanted: this.host.wanted, engine: this.engine, isOrdering: this.isSwapping }
  }

  private async watch (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.host.probe()
      if (this.lease.fence !== undefined && needsLoadOrder(this.view, this.host.isComplete) && this.host.maySwap()) await this.swap(this.host.wanted)
      await waitUntil(Date.now() + pollIntervalMilliseconds, this.stopping.signal)
    }
  }

  /** Closes the gate, lets what runs end on its own weights, orders, and opens again after reading the state anew. */
  private async swap (manifest: string): Promise<void> {
    this.isSwapping = true
    this.host.refuseWaiting()
    this.host.changed()
    try {
      await this.drain()
      if (this.host.wanted === manifest && this.lease.fence !== undefined) await this.order(manifest, this.lease.fence)
    } catch (error) {
      log.warn('an order has no answer; the engine state decides', { reason: String(error) })
    }
    await this.host.probe()
    this.isSwapping = false
    this.host.changed()
  }

  /** Requests end at their own deadlines at the latest. */
  private async drain (): Promise<void> {
    while (this.host.unfinished > 0 && !this.stopping.signal.aborted) {
      await waitUntil(Date.now() + drainPollMilliseconds, this.stopping.signal)
      await this.host.probe()
    }
  }

  private async order (manifest: string, fence: number): Promise<void> {
    const order: EngineOrder = { id: randomUUID(), kind: 'load', fence, manifest, source: this.host.source }
    log.info('the engine is ordered to load', { manifest, fence })
    await requestJson({ url: `${this.host.upstream}/orders`, method: 'POST', body: order, deadline: Date.now() + orderTimeoutMilliseconds })
  }
}
