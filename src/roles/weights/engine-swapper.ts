/** Stages weights at the engine and orders it to load them. */
import { drainModeOf, swapStartAt, type SwapScheduleView, type DrainMode } from '../../core/weights/swap-schedule.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { EngineReport } from '../../types/fleet.js'
import type { EnginePort } from '../../types/ports.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'
import type { PeerTable } from './peer-table.js'
import type { Staging } from './staging.js'

const log = logFor('orders')

/** Where the engine stands. */
export interface SwapRequest {
  readonly report: EngineReport
  readonly target: NamedVersion
  /** Steady milliseconds from which requests begin on the target only. */
  readonly rolloutDeadline: number
  /** Whether streams that are cut here go on at another engine. */
  readonly isResumable: boolean
}

/** Longest time without requests for a copy that does not become whole, milliseconds. */
const closedTimeoutMilliseconds = 1500

/** Brings one engine to the versions that its agent holds whole. */
export class EngineSwapper {
  /** Version for which the engine takes no requests, and since when, steady milliseconds. */
  private closed: { readonly version: number, readonly at: number } | undefined
  /** Steady milliseconds before which it is not closed again. */
  private stayOpenUntil = 0

  constructor (private readonly ip: string, private readonly engine: EnginePort, private readonly staging: Staging, private readonly peers: PeerTable) {}

  /** Whether entries should send nothing here, since a change is about to begin. */
  get isClosed (): boolean {
    return this.closed !== undefined
  }

  /** Takes requests again, since the engine has started anew. */
  reopen (): void {
    this.closed = undefined
  }

  /** Stops new requests when the engine's turn comes, also shortly before the copy is whole; `wholeAt` may be foreseen. */
  closeWhenDue (request: SwapRequest, completeAt: number, isComplete: boolean): void {
    const now = steadyNow()
    const { report, target } = request
    if (this.closed !== undefined && this.closed.version !== target.version) this.closed = undefined
    if (this.closed !== undefined) {
      if (isComplete || now < this.closed.at + closedTimeoutMilliseconds) return
      this.closed = undefined
      this.stayOpenUntil = now + closedTimeoutMilliseconds
      log.warn('the engine takes requests again, since its weights do not become whole', { version: target.version })
      return
    }
    const isSwapStarted = report.isChanging || (report.weights?.version ?? 0) >= target.version
    if (isSwapStarted || now < this.stayOpenUntil || now < swapStartAt(this.swapView(request, completeAt))) return
    this.closed = { version: target.version, at: now }
    log.info('the engine takes no more requests before its change', { version: target.version, served: report.weights?.version ?? 0, running: report.running, isComplete: isComplete, sinceMilliseconds: Math.round(now - target.since) })
  }

  /** Stages whole weights, and orders the engine to load them once it is closed and few requests are left. */
  async swap (chunks: VersionChunks, request: SwapRequest, completeAt: number): Promise<void> {
    if (!this.staging.isComplete(chunks)) await this.stage(chunks, request.target)
    this.closeWhenDue(request, completeAt, true)
    const { report, target } = request
    const served = report.weights?.version ?? 0
    if (report.isChanging || served >= target.version || this.closed === undefined) return
    const ending = drainModeOf(this.swapView(request, completeAt), report.running + report.waiting, this.closed.at, steadyNow())
    if (ending !== undefined) await this.order(chunks, request, served, ending)
  }

  private swapView (request: SwapRequest, completeAt: number): SwapScheduleView {
    const { report, target, rolloutDeadline: boundAt } = request
    return { self: this.ip, served: report.weights?.version ?? 0, wanted: target.version, peers: this.peers.engines(), completeAt: wholeAt: completeAt, cutoffAt: boundAt }
  }

  private async order (chunks: VersionChunks, request: SwapRequest, served: number, ending: DrainMode): Promise<void> {
    const { report, target, isResumable } = request
    await this.staging.repair(chunks)
    const result = await this.engine.load(chunks.model, chunks.version, report.orders, isResumable ? ending : 'wait')
    this.closed = undefined
    log.info('the engine was ordered to load weights', { model: chunks.model, version: chunks.version, result, ending, orders: report.orders, served, running: report.running, sinceMilliseconds: Math.round(steadyNow() - target.since) })
  }

  private async stage (chunks: VersionChunks, target: NamedVersion): Promise<void> {
    await this.staging.add(chunks)
    log.info('weights are staged whole', { model: chunks.model, version: chunks.version, sinceMilliseconds: Math.round(steadyNow() - target.since) })
  }
}
