/** Orders an engine to load what is staged, and knows which orders it may still accept. */
import { isSettledBy, type LoadOrder } from '../../core/weights/load-trust.js'
import type { DrainMode } from '../../core/weights/swap-schedule.js'
import type { EngineReport } from '../../types/fleet.js'
import type { EnginePort, OrderResult } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { Staging } from './staging.js'

const log = logFor('orders')

/** Longest time for which an order without an answer holds up other versions, milliseconds. */
const maximumOpenMilliseconds = 15_000

/** An order of this agent that may still be accepted, with the chunks that the engine will take. */
interface OpenOrder extends LoadOrder {
  readonly chunks: VersionChunks
  /** When it was first sent, milliseconds of the monotonic clock. */
  readonly sentAt: number
  /** Milliseconds of the monotonic clock. */
  readonly openUntil: number
}

/** Orders to one engine. */
export class LoadOrders {
  private open: OpenOrder | undefined
  /** What the engine last told of its orders. */
  private known: { readonly startedAt: number, readonly orders: number } | undefined

  constructor (private readonly engine: EnginePort, private readonly staging: Staging) {}

  /** The chunks that the engine may still take, since an order for them is not settled: nothing else may be staged. */
  get openChunks (): VersionChunks | undefined {
    return this.open?.chunks
  }

  /** Whether chunks of a version may be staged: the engine takes no others any more. */
  mayStage (chunks: VersionChunks): boolean {
    return this.open === undefined || this.open.chunks === chunks
  }

  /** Takes what the engine reports. */
  observe (report: EngineReport): void {
    const { startedAt, orders } = report
    if (this.open !== undefined && monotonicNow() >= this.open.openUntil) {
      log.warn('an order was neither answered nor accepted for long; going on with other versions', { version: this.open.version })
      this.open = undefined
    }
    if (this.open !== undefined && isSettledBy(this.open, report)) {
      log.info('an open order is settled', { version: this.open.version, orders, milliseconds: Math.round(monotonicNow() - this.open.sentAt) })
      this.open = undefined
    }
    if (this.known?.startedAt !== startedAt || orders > this.known.orders) this.known = { startedAt, orders }
  }

  /**
   * Checks what is staged and orders the engine to load it. Throws if the engine does not answer; the order stays open then,
   * until a report or another order for the same chunks settles it. `namedAt`, milliseconds of the monotonic clock, is for the log.
   */
  async order (chunks: VersionChunks, report: EngineReport, ending: DrainMode, namedAt: number): Promise<OrderResult> {
    await this.staging.verify(chunks)
    const { model, version } = chunks
    if (this.known?.startedAt !== report.startedAt || this.known.orders !== report.orders) return 'conflict'
    const order = { model, version, startedAt: report.startedAt, ordersBefore: report.orders }
    const isRepeated = this.open !== undefined
    const sentAt = monotonicNow()
    this.open ??= { ...order, chunks, sentAt, openUntil: sentAt + maximumOpenMilliseconds }
    const checkAgeMilliseconds = Math.round(sentAt - this.staging.oldestCheckAt(chunks))
    const result = await this.engine.load(model, version, report.orders, ending).catch((error: unknown) => {
      log.warn('no answer to an order to load weights: the engine may still accept it', { model, version, orders: report.orders, checkAgeMilliseconds, reason: String(error) })
      throw error
    })
    const answeredAt = monotonicNow()
    log.info('the engine was ordered to load weights', {
      model,
      version,
      result,
      ending,
      orders: report.orders,
      served: report.weights?.version ?? 0,
      running: report.running,
      checkAgeMilliseconds,
      answerMilliseconds: Math.round(answeredAt - sentAt),
      sinceMilliseconds: Math.round(answeredAt - namedAt)
    })
    if (result === 'begun' || !isRepeated) this.open = undefined
    return result
  }

  /** Keeps what an open order will take whole, for as long as the engine may take it. Throws when the engine fails. */
  async keepWhole (): Promise<void> {
    if (this.open !== undefined) await this.staging.renewChecks(this.open.chunks)
  }
}
