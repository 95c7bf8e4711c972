/** Requests of one service that are queued at an entry until an upstream has a free slot. */
import { orderQueue, type QueuedRequest } from '../../core/dispatch/queueing.js'
import { monotonicNow } from '../../utils/clock.js'
import type { UpstreamView } from './upstream-view.js'

/** Interval of the checks for free slots while requests are queued, milliseconds: short against one pass of an engine. */
const pollIntervalMilliseconds = 20

interface QueueItem extends QueuedRequest {
  /** When the request leaves the queue without a slot, milliseconds of the monotonic clock. */
  readonly until: number
  /** Takes a slot at an upstream; undefined while none is free. */
  readonly takeSlot: () => UpstreamView | undefined
  readonly finish: (view: UpstreamView | undefined) => void
}

/** Queue of one service; requests leave it in the order of `core/dispatch`. */
export class RequestQueue {
  private items: readonly QueueItem[] = []
  private lastNumber = 0
  private timer: NodeJS.Timeout | undefined

  /** Number of queued requests that are late, or of those that are not. */
  count (isLate: boolean): number {
    return this.items.filter(item => item.isLate === isLate).length
  }

  /** Whether a request that arrives now has others ahead of it: all queued ones if it is late, else those that are not late. */
  hasRequestsAhead (isLate: boolean): boolean {
    return this.items.some(item => isLate || !item.isLate)
  }

  /** Queues a request; resolves with the upstream whose slot it took, or with undefined once `until` (milliseconds of the monotonic clock) has passed or `signal` aborts. */
  wait (isLate: boolean, until: number, takeSlot: () => UpstreamView | undefined, signal: AbortSignal): Promise<UpstreamView | undefined> {
    return new Promise(resolve => {
      this.lastNumber += 1
      const number = this.lastNumber
      const finish = (view: UpstreamView | undefined): void => {
        this.items = this.items.filter(item => item.number !== number)
        resolve(view)
      }
      signal.addEventListener('abort', () => { finish(undefined) }, { once: true })
      this.items = [...this.items, { number, isLate, until, takeSlot, finish }]
      this.timer ??= setInterval(() => { this.poll() }, pollIntervalMilliseconds)
      // A request that arrives behind others has not looked for a slot yet.
      if (this.items.length > 1) this.poll()
    })
  }

  /** Whether no request is queued. */
  get isEmpty (): boolean {
    return this.items.length === 0
  }

  /** Has each queued request look for a slot. */
  poll (): void {
    const now = monotonicNow()
    for (const item of orderQueue(this.items)) {
      const view = item.takeSlot()
      if (view !== undefined || now >= item.until) item.finish(view)
    }
    if (this.items.length > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
