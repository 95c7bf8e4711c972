/** Requests of one service that wait at an entry for an upstream. */
import { orderQueue, type QueuedRequest } from '../../core/dispatch/queueing.js'
import { steadyNow } from '../../utils/clock.js'
import type { UpstreamView } from './upstream-view.js'

/** Time between two looks for places while somebody waits, milliseconds: a small part of a pass. */
const lookMilliseconds = 20

interface Waiting extends QueuedRequest {
  readonly until: number
  /** Takes a place; undefined while there is none. */
  readonly place: () => UpstreamView | undefined
  readonly done: (view: UpstreamView | undefined) => void
}

/** One service's line. */
export class WaitingLine {
  private waiters: readonly Waiting[] = []
  private lastNumber = 0
  private timer: NodeJS.Timeout | undefined

  /** Requests that wait, late or not. */
  count (isLate: boolean): number {
    return this.waiters.filter(waiter => waiter.isLate === isLate).length
  }

  /** Whether a request that comes now has others before it. */
  isBehind (isLate: boolean): boolean {
    return this.waiters.some(waiter => isLate || !waiter.isLate)
  }

  /** Resolves with a place, or with nothing at `until` (steady milliseconds) or when `signal` aborts. */
  wait (isLate: boolean, until: number, place: () => UpstreamView | undefined, signal: AbortSignal): Promise<UpstreamView | undefined> {
    return new Promise(resolve => {
      this.lastNumber += 1
      const number = this.lastNumber
      const done = (view: UpstreamView | undefined): void => {
        this.waiters = this.waiters.filter(waiter => waiter.number !== number)
        resolve(view)
      }
      signal.addEventListener('abort', () => { done(undefined) }, { once: true })
      this.waiters = [...this.waiters, { number, isLate, until, place, done }]
      this.timer ??= setInterval(() => { this.look() }, lookMilliseconds)
    })
  }

  private look (): void {
    const now = steadyNow()
    for (const waiter of orderQueue(this.waiters)) {
      const view = waiter.place()
      if (view !== undefined || now >= waiter.until) waiter.done(view)
    }
    if (this.waiters.length > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
