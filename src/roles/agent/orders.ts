/** Orders to the engine: one at a time, with a fencing number from the log, each settled by reading the engine's state. */
import { randomUUID } from 'node:crypto'
import { needsOrder, servedWeights } from '../../core/gate.js'
import { engineStateSchema, type EngineOrder, type EngineState } from '../../types/platform.js'
import type { LogClient } from '../../transports/log-client.js'
import { streams } from '../../transports/log-client.js'
import { requestJson } from '../../transports/http-client.js'
import { logFor } from '../../utils/log.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import type { WeightExchange } from './exchange.js'

const log = logFor('orders')
const pollMilliseconds = 200
const stateMilliseconds = 1000
const orderMilliseconds = 60_000
const appendMilliseconds = 3000

/** What the orders need of the agent. */
export interface OrdersSettings {
  readonly instance: string
  readonly incarnation: string
  readonly upstream: string
  /** Base URL from which the engine draws chunks. */
  readonly source: string
}

/** Keeps the engine on the wanted weights and says what may be served. */
export class Orders {
  private engine: EngineState | undefined
  private ordering = false
  private fence: number | undefined
  private readonly stopping = new AbortController()

  constructor (
    private readonly settings: OrdersSettings,
    private readonly client: LogClient,
    private readonly exchange: WeightExchange,
    private readonly onChange: (restarted: boolean) => void
  ) {}

  start (): void {
    runInBackground(this.watch(), log, 'watch the engine')
  }

  stop (): void {
    this.stopping.abort()
  }

  /** Digest that requests may use now, empty while the gate is closed. */
  get served (): string {
    return servedWeights({ wanted: this.exchange.progress.manifest, engine: this.engine, ordering: this.ordering })
  }

  /** Requests that the engine itself counts, from its last state. */
  get engineRunning (): number {
    return this.engine?.running ?? 0
  }

  private async watch (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.readState()
      const wanted = this.exchange.progress.manifest
      if (needsOrder({ wanted, engine: this.engine, ordering: this.ordering }, this.exchange.isWhole)) await this.orderLoad(wanted)
      await waitUntil(Date.now() + pollMilliseconds, this.stopping.signal)
    }
  }

  private async readState (): Promise<void> {
    const before = this.engine
    try {
      const answer = await requestJson({ url: `${this.settings.upstream}/state`, method: 'GET', deadline: Date.now() + stateMilliseconds })
      this.engine = engineStateSchema.parse(answer)
    } catch {
      this.engine = undefined
    }
    if (before?.incarnation !== this.engine?.incarnation || before?.weights !== this.engine?.weights) {
      this.onChange(before?.incarnation !== this.engine?.incarnation)
    }
  }

  private async orderLoad (manifest: string): Promise<void> {
    this.ordering = true
    this.onChange(false)
    try {
      this.fence ??= await this.takeLease()
      const order: EngineOrder = { id: randomUUID(), kind: 'load', fence: this.fence, manifest, source: this.settings.source }
      await requestJson({ url: `${this.settings.upstream}/orders`, method: 'POST', body: order, deadline: Date.now() + orderMilliseconds })
    } catch (error) {
      log.warn('an order failed; the engine state decides', { reason: String(error) })
    }
    this.ordering = false
    await this.readState()
    this.onChange(true)
  }

  private async takeLease (): Promise<number> {
    const { instance, incarnation } = this.settings
    const body = JSON.stringify({ type: 'lease', id: randomUUID(), instance, incarnation })
    const [offset] = await this.client.append(streams.leases, [body], Date.now() + appendMilliseconds)
    if (offset === undefined) throw new Error('the log gave no offset')
    return offset
  }
}
