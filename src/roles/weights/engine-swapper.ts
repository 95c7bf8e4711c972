/** Stages complete weights at the engine and orders it to swap to them. */
import { drainModeOf, swapStartAt, type SwapScheduleView, type DrainMode } from '../../core/weights/swap-schedule.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { EngineReport } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { LoadOrders } from './load-orders.js'
import type { PeerTable } from './peer-table.js'
import type { Staging } from './staging.js'

const log = logFor('orders')

/** Inputs of a swap. */
export interface SwapRequest {
  readonly report: EngineReport
  readonly target: NamedVersion
  /** Milliseconds of the monotonic clock from which new requests run on the target version only. */
  readonly rolloutDeadline: number
  /** Whether streams that are cut here can resume at another engine. */
  readonly isResumable: boolean
}

/** Longest time for which the engine is closed for an incomplete copy, and shortest time open afterwards, milliseconds. */
const closedTimeoutMilliseconds = 1500
/** Consecutive attempts to stage and order that fail before the engine is opened again. */
const maximumFailedSwaps = 3

/** Swaps one engine to the versions of which its agent holds a complete copy. */
export class EngineSwapper {
  /** Version for which the engine is closed to new requests, and since when, milliseconds of the monotonic clock. */
  private closed: { readonly version: number, readonly at: number } | undefined
  /** Milliseconds of the monotonic clock before which the engine is not closed again. */
  private stayOpenUntil = 0
  /** Consecutive attempts that failed. */
  private failedSwaps = 0

  constructor (private readonly ip: string, private readonly orders: LoadOrders, private readonly staging: Staging, private readonly peers: PeerTable) {}

  /** Whether entries should send no requests here: a swap is about to begin, or what the engine has loaded may be wrong. */
  get isClosed (): boolean {
    return this.closed !== undefined || this.orders.isUntrusted
  }

  /** Accepts requests again once the engine serves the version for which it was closed: the answer to the order may have been lost. */
  observe (report: EngineReport): void {
    if (this.closed === undefined || report.isSwapping || (report.weights?.version ?? 0) < this.closed.version) return
    log.info('the engine serves the weights for which it was closed', { version: this.closed.version })
    this.closed = undefined
  }

  /** Accepts requests again, after the engine was restarted. */
  reopen (): void {
    this.closed = undefined
  }

  /**
   * Closes the engine to new requests when its turn in the swap schedule comes, possibly shortly before the copy is
   * complete, and opens it again when the copy stays incomplete. `completeAt` is the time at which the copy was completed
   * or is expected to be, milliseconds of the monotonic clock.
   */
  closeWhenDue (request: SwapRequest, completeAt: number, isComplete: boolean): void {
    const now = monotonicNow()
    const { report, target } = request
    if (this.closed !== undefined && this.closed.version !== target.version) this.closed = undefined
    if (this.closed !== undefined) {
      if (isComplete || now < this.closed.at + closedTimeoutMilliseconds) return
      this.closed = undefined
      this.stayOpenUntil = now + closedTimeoutMilliseconds
      log.warn('the engine accepts requests again: its weights were not complete in time', { version: target.version })
      return
    }
    const isSwapStarted = report.isSwapping || (report.weights?.version ?? 0) >= target.version
    if (isSwapStarted || now < this.stayOpenUntil || now < swapStartAt(this.swapView(request, completeAt))) return
    this.closed = { version: target.version, at: now }
    log.info('the engine is closed to new requests before its swap', { version: target.version, served: report.weights?.version ?? 0, running: report.running, isComplete, sinceMilliseconds: Math.round(now - target.since) })
  }

  /** Stages complete weights, and orders the engine to load them once it is closed and few requests still run. */
  async swap (chunks: VersionChunks, request: SwapRequest, completeAt: number): Promise<void> {
    try {
      await this.trySwap(chunks, request, completeAt)
    } catch (error) {
      this.recordFailure(chunks.version)
      throw error
    }
  }

  private async trySwap (chunks: VersionChunks, request: SwapRequest, completeAt: number): Promise<void> {
    if (!this.staging.isComplete(chunks)) await this.stage(chunks, request.target)
    this.closeWhenDue(request, completeAt, true)
    const { report, target } = request
    const served = report.weights?.version ?? 0
    const isDue = !report.isSwapping && served < target.version && this.closed !== undefined
    const ending = isDue ? drainModeOf(this.swapView(request, completeAt), report.running + report.waiting, this.closed?.at ?? 0, monotonicNow()) : undefined
    if (ending === undefined) await this.orders.keepWhole()
    else await this.order(chunks, request, ending)
  }

  private swapView (request: SwapRequest, completeAt: number): SwapScheduleView {
    const { report, target, rolloutDeadline } = request
    return { self: this.ip, served: report.weights?.version ?? 0, wanted: target.version, peers: this.peers.engines(), completeAt, cutoffAt: rolloutDeadline }
  }

  private async order (chunks: VersionChunks, { report, target, isResumable }: SwapRequest, ending: DrainMode): Promise<void> {
    await this.orders.order(chunks, report, isResumable ? ending : 'wait', target.since)
    this.closed = undefined
    this.failedSwaps = 0
  }

  /** Opens an engine again that cannot be swapped for some time: it serves what it has. */
  private recordFailure (version: number): void {
    this.failedSwaps += 1
    const now = monotonicNow()
    if (this.closed === undefined || this.failedSwaps < maximumFailedSwaps || now - this.closed.at < closedTimeoutMilliseconds) return
    log.warn('the engine accepts requests again: it could not be ordered to load its weights', { version, failures: this.failedSwaps })
    this.closed = undefined
    this.stayOpenUntil = now + closedTimeoutMilliseconds
    this.failedSwaps = 0
  }

  private async stage (chunks: VersionChunks, target: NamedVersion): Promise<void> {
    await this.staging.add(chunks)
    log.info('weights are staged', { model: chunks.model, version: chunks.version, sinceMilliseconds: Math.round(monotonicNow() - target.since) })
  }
}
