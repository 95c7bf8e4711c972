/** Orders an engine to load what is staged, and tells whether what it has loaded is whole. */
import { isSettledBy, isVouchedFor, judgeLoad, type AcceptanceTime, type LoadOrder } from '../../core/weights/load-trust.js'
import type { DrainMode } from '../../core/weights/swap-schedule.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { EngineReport, VouchedLoad } from '../../types/fleet.js'
import type { EnginePort, OrderResult } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { Staging } from './staging.js'

const log = logFor('orders')

/** Longest time for which an order without an answer holds up other versions, milliseconds; a load that it begins later is not trusted. */
const maximumOpenMilliseconds = 15_000

/** Time from the start of a process until an order of an earlier one counts as lost, milliseconds; a load that it begins later is not trusted. */
const maximumLateOrderMilliseconds = 6000
/** Time from the first report of an engine in which entries tell for which of its loads an earlier process has vouched, milliseconds: each of them subscribes once a second. */
const vouchingMilliseconds = 1500
/** Time between two orders to give up a wrong load, milliseconds. */
const unloadIntervalMilliseconds = 1000

/** An order of this agent that may still be accepted, with the chunks that the engine will take. */
interface OpenOrder extends LoadOrder {
  readonly chunks: VersionChunks
  /** When it was first sent, and last repeated, milliseconds of the monotonic clock. */
  readonly sentAt: number
  readonly repeatedAt: number
  /** Milliseconds of the monotonic clock. */
  readonly openUntil: number
}

/** A load for which no check vouches: `unchecked` until the staged chunks are read again, `wrong` until the engine loads anew or restarts. */
interface UntrustedLoad {
  readonly state: 'unchecked' | 'wrong'
  /** What was ordered; undefined if this agent did not order it. */
  readonly chunks: VersionChunks | undefined
  /** Earliest time at which it may have been taken, milliseconds of the monotonic clock. */
  readonly takenAfter: number
  /** Milliseconds of the monotonic clock until which an entry may tell that an earlier process vouched for it; 0 for a load that this process saw begin. */
  readonly vouchedUntil: number
}

/** Who began a load that must be read again. */
export interface UncheckedLoad {
  readonly isOwn: boolean
  readonly isInherited: boolean
}

/** Orders to one engine. */
export class LoadOrders {
  private open: OpenOrder | undefined
  private untrusted: UntrustedLoad | undefined
  /** Version of the last load that was accepted by an order of this agent; undefined before the first, or after a restart of the engine. */
  private loaded: number | undefined
  /** What the engine last told of its orders. */
  private known: { readonly startedAt: number, readonly orders: number } | undefined
  /** When the last report was asked for that knew no other order, milliseconds of the monotonic clock. */
  private unchangedAt = 0
  private readonly createdAt = monotonicNow()
  /** Milliseconds of the monotonic clock before which no other order to give up a load is sent. */
  private unloadRetryAt = 0
  /** Milliseconds of the monotonic clock until which nothing may be staged over what an earlier process of this agent staged; 0 if it may. */
  private retainUntil = 0
  /** The last load for which, as entries tell, an agent of this engine vouched. */
  private vouched: VouchedLoad | undefined
  private isStopped = false

  constructor (private readonly engine: EnginePort, private readonly staging: Staging, private readonly metrics: Metrics) {}

  /** The chunks that the engine may still take, since an order for them is not settled: nothing else may be staged. */
  get openChunks (): VersionChunks | undefined {
    return this.open?.chunks
  }

  /** Whether the engine has loaded, or loads, what nothing vouches for: it must not serve that. */
  get isUntrusted (): boolean {
    return this.untrusted !== undefined
  }

  /** Whether what is staged must be read again, and must stay as it is until then: of which version is known if this agent ordered it; `isInherited` if it did not see the load begin. */
  get unchecked (): UncheckedLoad | undefined {
    return this.untrusted?.state === 'unchecked' ? { isOwn: this.untrusted.chunks !== undefined, isInherited: this.untrusted.vouchedUntil > 0 } : undefined
  }

  /** Whether the engine should give up what it has loaded, so that it can be ordered to load the same version again. */
  shouldUnload (report: EngineReport): boolean {
    return this.untrusted?.state === 'wrong' && !report.isSwapping && report.weights !== undefined && monotonicNow() >= this.unloadRetryAt
  }

  /** Whether chunks of a version may be staged: the engine takes no others any more. */
  mayStage (chunks: VersionChunks): boolean {
    return monotonicNow() >= this.retainUntil && this.unchecked === undefined && (this.open === undefined || this.open.chunks === chunks)
  }

  /** An earlier process of this agent has staged a complete copy of another version: the engine may still accept its order. */
  retainStaged (): void {
    this.retainUntil = this.createdAt + maximumLateOrderMilliseconds
    log.info('keeping what is staged: an order of an earlier process may still be accepted', { milliseconds: Math.round(this.retainUntil - monotonicNow()) })
  }

  /** What is staged is a copy of the version that the engine serves, so that an order for it would begin nothing. */
  releaseStaged (): void {
    this.retainUntil = 0
  }

  /** Whether a report is older than what is known: it was asked for before an order was answered. */
  isOutdated (report: EngineReport): boolean {
    return this.known?.startedAt === report.startedAt && report.orders < this.known.orders
  }

  /** Takes what the engine reports; `askedAt`: when the report was asked for, milliseconds of the monotonic clock. */
  observe (report: EngineReport, askedAt: number): void {
    const { startedAt, orders } = report
    if (this.known?.startedAt !== startedAt) this.start(report)
    else if (orders > this.known.orders) this.settle(report)
    if (this.open !== undefined && monotonicNow() >= this.open.openUntil) {
      log.warn('an order was neither answered nor accepted for long; going on with other versions', { version: this.open.version })
      this.open = undefined
    }
    if (this.known === undefined || orders >= this.known.orders) {
      this.known = { startedAt, orders }
      this.unchangedAt = askedAt
    }
    const served = report.weights?.version
    if (!report.isSwapping && served === undefined && orders === this.known.orders) this.untrusted = undefined
    if (!report.isSwapping && this.loaded !== undefined && served !== undefined && orders === this.known.orders && served !== this.loaded) {
      log.warn('the engine has loaded another version than this agent ordered', { version: served, ordered: this.loaded, orders })
      this.loaded = served
      this.distrust(undefined, 'unchecked', 0)
    }
  }

  /**
   * Checks what is staged and orders the engine to load it. Throws if the engine does not answer; the order stays open then,
   * until a report or another order for the same chunks settles it. `namedAt`, milliseconds of the monotonic clock, is for the log.
   */
  async order (chunks: VersionChunks, report: EngineReport, ending: DrainMode, namedAt: number): Promise<OrderResult> {
    await this.staging.verify(chunks)
    if (this.isStopped) throw new Error('the agent stops')
    const { model, version } = chunks
    if (this.known?.startedAt !== report.startedAt || this.known.orders !== report.orders) return 'conflict'
    const order = { model, version, startedAt: report.startedAt, ordersBefore: report.orders }
    const isRepeated = this.open !== undefined
    const sentAt = monotonicNow()
    this.open = { ...order, chunks, sentAt, openUntil: sentAt + maximumOpenMilliseconds, ...this.open, repeatedAt: sentAt }
    const checkAgeMilliseconds = Math.round(sentAt - this.staging.checksOf(chunks).oldestAt)
    const result = await this.engine.load(model, version, report.orders, ending).catch((error: unknown) => {
      this.metrics.count('load_orders_total', { result: 'unanswered' })
      log.warn('no answer to an order to load weights: the engine may still accept it', { model, version, orders: report.orders, checkAgeMilliseconds, reason: String(error) })
      throw error
    })
    const answeredAt = monotonicNow()
    this.metrics.count('load_orders_total', { result })
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
    if (result === 'begun') this.recordBegun(order, chunks, { after: sentAt, by: answeredAt })
    else if (!isRepeated) this.open = undefined
    return result
  }

  /** Keeps what an open order will take whole, for as long as the engine may take it. Throws when the engine fails. */
  async keepWhole (): Promise<void> {
    if (this.open !== undefined) await this.staging.renewChecks(this.open.chunks)
  }

  /**
   * Reads again what the engine took, before it serves it. `loaded`: the chunks of the version that the engine reports, for a
   * load that this agent did not order; undefined if they cannot be known. Throws when the engine fails.
   */
  async checkLoad (loaded: VersionChunks | undefined): Promise<void> {
    const { untrusted } = this
    if (untrusted?.state !== 'unchecked') return
    const chunks = untrusted.chunks ?? loaded
    const isWhole = chunks !== undefined && await this.staging.wasStagedSince(chunks, untrusted.takenAfter)
    if (this.untrusted !== untrusted) return
    if (!isWhole) {
      if (monotonicNow() >= untrusted.vouchedUntil) this.distrust(chunks, 'wrong', untrusted.takenAfter, untrusted.vouchedUntil)
      return
    }
    this.untrusted = undefined
    log.info('the load is whole: what is staged was read again', { version: chunks.version })
  }

  /** Orders the engine to give up a wrong load: it refuses to load a version that it serves. Throws if the engine does not answer. */
  async unload (report: EngineReport): Promise<void> {
    if (report.weights === undefined || this.isStopped) return
    const { model, version } = report.weights
    this.unloadRetryAt = monotonicNow() + unloadIntervalMilliseconds
    const result = await this.engine.unload(model, version, report.orders)
    log.warn('the engine was ordered to give up a load that may be wrong', { model, version, result, orders: report.orders })
    if (result === 'begun' && this.known?.startedAt === report.startedAt) this.known = { startedAt: report.startedAt, orders: Math.max(this.known.orders, report.orders + 1) }
    if (result === 'begun') this.loaded = undefined
  }

  /** Nothing speaks against a load of an earlier process; where no source has its digests, an engine that stays closed for good is worse. */
  endWaitForDigests (): void {
    const { untrusted } = this
    if (untrusted?.state !== 'unchecked' || untrusted.vouchedUntil === 0 || monotonicNow() < untrusted.vouchedUntil) return
    log.warn('the load of an earlier process cannot be checked in time: it is served', { orders: this.known?.orders ?? 0 })
    this.untrusted = undefined
  }

  /** Takes the load for which, as an entry tells, an agent of this engine vouched. */
  observeVouched (vouched: VouchedLoad, report: EngineReport | undefined): void {
    const { startedAt, orders } = this.vouched ?? { startedAt: 0, orders: 0 }
    if (vouched.startedAt > startedAt || (vouched.startedAt === startedAt && vouched.orders > orders)) this.vouched = vouched
    if (report !== undefined) this.trustVouched(report)
  }

  /** Sends no further orders. */
  stop (): void {
    this.isStopped = true
  }

  /**
   * The engine holds nothing after a restart; only an order that was sent since the last report may have come to the new
   * process. What it has loaded by an order all the same, no check of this process vouches for.
   */
  private start (report: EngineReport): void {
    const { startedAt, orders } = report
    this.open = this.open !== undefined && this.open.repeatedAt >= this.unchangedAt ? { ...this.open, startedAt } : undefined
    this.untrusted = undefined
    this.loaded = undefined
    if (orders === 0 || (report.weights === undefined && !report.isSwapping)) return
    this.untrusted = { state: 'unchecked', chunks: undefined, takenAfter: this.unchangedAt, vouchedUntil: monotonicNow() + vouchingMilliseconds }
    this.metrics.count('untrusted_loads_total', { state: 'inherited' })
    log.info('the engine has a load that this process did not see begin: it is closed until an entry or the staged chunks vouch for it', { version: report.weights?.version ?? 0, orders })
    this.trustVouched(report)
  }

  /** Trusts a load from before the first report of its engine if an entry tells that an agent vouched for it. */
  private trustVouched (report: EngineReport): void {
    if (this.untrusted === undefined || this.untrusted.vouchedUntil === 0 || !isVouchedFor(this.vouched, report)) return
    this.untrusted = undefined
    log.info('the load is whole: an entry knows that an earlier process vouched for it', { version: report.weights?.version ?? 0, orders: report.orders })
  }

  /** The answer may come after a report that has already told of the order. */
  private recordBegun (order: LoadOrder, chunks: VersionChunks, accepted: AcceptanceTime): void {
    const orders = order.ordersBefore + 1
    if (this.known === undefined || this.known.startedAt !== order.startedAt || this.known.orders >= orders) return
    this.known = { startedAt: order.startedAt, orders }
    this.accept(chunks, accepted)
  }

  /** The engine has accepted an order since its last report. */
  private settle (report: EngineReport): void {
    const { open } = this
    const isOwn = open !== undefined && isSettledBy(open, report) && report.orders === open.ordersBefore + 1
    if (isOwn) {
      log.info('an open order was accepted', { version: open.version, orders: report.orders, milliseconds: Math.round(monotonicNow() - open.sentAt) })
      this.accept(open.chunks, { after: Math.max(this.unchangedAt, open.sentAt), by: monotonicNow() })
      return
    }
    log.warn('the engine has accepted an order that this agent did not send', { orders: report.orders, before: this.known?.orders ?? 0 })
    this.open = undefined
    this.loaded = undefined
    this.distrust(undefined, 'unchecked', this.unchangedAt)
  }

  private accept (chunks: VersionChunks, accepted: AcceptanceTime): void {
    this.open = undefined
    this.loaded = chunks.version
    const checks = this.staging.checksOf(chunks)
    const verdict = judgeLoad(checks, accepted)
    if (verdict === 'whole') this.untrusted = undefined
    else this.distrust(chunks, verdict === 'unchecked' ? 'unchecked' : 'wrong', accepted.after)
  }

  private distrust (chunks: VersionChunks | undefined, state: UntrustedLoad['state'], takenAfter: number, vouchedUntil = 0): void {
    this.untrusted = { state, chunks, takenAfter, vouchedUntil }
    this.metrics.count('untrusted_loads_total', { state })
    const message = state === 'wrong' ? 'the engine has taken chunks that may be wrong: it is closed until it loads others' : 'no check vouches for what the engine has taken: it is closed until that was read again'
    log.warn(message, { version: chunks?.version ?? 0 })
  }
}
