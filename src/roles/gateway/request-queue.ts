/** Requests of one service that wait at an entry for an upstream. */
import { orderQueue, type QueuedRequest } from '../../core/dispatch/queueing.js'
import { steadyNow } from '../../utils/clock.js'
import type { UpstreamView } from './upstream-view.js'

/** Time between two looks for places while somebody waits, milliseconds: a small part of a pass. */
const pollIntervalMilliseconds = 20

interface QueueItem extends QueuedRequest {
  readonly until: number
  /** Takes a place; undefined while there is none. */
  readonly takeSlot: () => UpstreamView | undefined
  readonly finish: (view: UpstreamView | undefined) => void
}

/** One service's line. */
export class RequestQueue {
  private items: readonly QueueItem[] = []
  private lastNumber = 0
  private timer: NodeJS.Timeout | undefined

  /** Requests that wait, late or not. */
  count (isLate: boolean): number {
    return this.items.filter(waiter => waiter.isLate === isLate).length
  }

  /** Whether a request that comes now has others before it. */
  hasRequestsAhead (isLate: boolean): boolean {
    return this.items.some(waiter => isLate || !waiter.isLate)
  }

  /** Resolves with a place, or with nothing at `until` (steady milliseconds) or when `signal` aborts. */
  wait (isLate: boolean, until: number, place: () => UpstreamView | undefined, signal: AbortSignal): Promise<UpstreamView | undefined> {
    return new Promise(resolve => {
      this.lastNumber += 1
      const number = this.lastNumber
      const done = (view: UpstreamView | undefined): void => {
        this.items = this.items.filter(waiter => waiter.number !== number)
        resolve(view)
      }
      signal.addEventListener('abort', () => { done(undefined) }, { once: true })
      this.items = [...this.items, { number, isLate, until, takeSlot: place, finish: done }]
      this.timer ??= setInterval(() => { this.poll() }, pollIntervalMilliseconds)
    })
  }

  private poll (): void {
    const now = steadyNow()
    for (const waiter of orderQueue(this.items)) {
      const view = waiter.takeSlot()
      if (view !== undefined || now >= waiter.until) waiter.finish(view)
    }
    if (this.items.length > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
