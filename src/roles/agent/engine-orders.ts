/** Load orders to the engine: one at a time, with a fencing token, while no request is served; the engine's state read afterwards tells the result. */
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
/** Interval of the checks whether the running requests have ended. */
const drainPollMilliseconds = 20
/** Time for the engine to answer an order, which it does after loading. */
const orderTimeoutMilliseconds = 60_000

/** The agent as its engine orders use it. */
export interface EngineOrdersHost {
  readonly upstream: string
  /** Base URL from which the engine fetches chunks. */
  readonly source: string
  /** Digest of the manifest that the engine should load, empty for none. */
  readonly wanted: string
  /** Whether every chunk of the wanted weights is held and verified. */
  readonly isComplete: boolean
  /** Requests that are queued or running on the engine. */
  readonly unfinished: number
  /** Whether this instance may be unavailable for a swap of weights now. */
  maySwap (): boolean
  /** Requests the engine's state, which is passed to `recordEngineState`. */
  probe (): Promise<void>
  /** Refuses every queued request, because no weights are served until the swap ends. */
  refuseWaiting (): void
  /** Called when the served weights may have changed. */
  changed (): void
}

/** Orders the engine to load the wanted weights and tells which weights requests may use. */
export class EngineOrders {
  private engine: EngineState | undefined
  private isSwapping = false
  private readonly stopping = new AbortController()

  constructor (private readonly host: EngineOrdersHost, private readonly lease: InstanceLease) {}

  start (): void {
    this.lease.start()
    runInBackground(this.watch(), log, 'poll the engine')
  }

  stop (): void {
    this.lease.stop()
    this.stopping.abort()
  }

  /** Manifest digest that requests may use now; empty during a swap, without a known engine state, or once another agent holds the lease. */
  get served (): string {
    return this.lease.isSuperseded ? '' : servedWeights(this.view)
  }

  /** Records a state that the engine reported; undefined when it could not be reached. */
  recordEngineState (engine: EngineState | undefined): void {
    this.engine = engine
  }

  private get view (): EngineView {
    return { wanted: this.host.wanted, engine: this.engine, isOrdering: this.isSwapping }
  }

  /** Whether the engine still needs the order: while requests ran, weights may have been wanted, evicted or loaded. */
  private isStillDue (manifest: string): boolean {
    return this.host.wanted === manifest && needsLoadOrder({ ...this.view, isOrdering: false }, this.host.isComplete)
  }

  private async watch (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.host.probe()
      if (this.lease.fence !== undefined && needsLoadOrder(this.view, this.host.isComplete) && this.host.maySwap()) await this.swap(this.host.wanted)
      await waitUntil(Date.now() + pollIntervalMilliseconds, this.stopping.signal)
    }
  }

  /** Stops serving, waits until the running requests have ended, sends the order, and serves again once the engine's state has been read. */
  private async swap (manifest: string): Promise<void> {
    this.isSwapping = true
    this.host.refuseWaiting()
    this.host.changed()
    try {
      await this.drain()
      if (this.isStillDue(manifest) && this.lease.fence !== undefined) await this.order(manifest, this.lease.fence)
      else log.info('the load order is no longer due', { manifest, wanted: this.host.wanted, weights: this.engine?.weights ?? '' })
    } catch (error) {
      log.warn('the load order was not confirmed; reading the engine state', { reason: String(error) })
    }
    await this.host.probe()
    this.isSwapping = false
    this.host.changed()
  }

  /** Waits for the running requests, which end at their own deadlines at the latest. */
  private async drain (): Promise<void> {
    while (this.host.unfinished > 0 && !this.stopping.signal.aborted) {
      await waitUntil(Date.now() + drainPollMilliseconds, this.stopping.signal)
      await this.host.probe()
    }
  }

  private async order (manifest: string, fence: number): Promise<void> {
    const order: EngineOrder = { id: randomUUID(), kind: 'load', fence, manifest, source: this.host.source }
    log.info('ordering the engine to load weights', { manifest, fence })
    await requestJson({ url: `${this.host.upstream}/orders`, method: 'POST', body: order, deadline: Date.now() + orderTimeoutMilliseconds })
  }
}
