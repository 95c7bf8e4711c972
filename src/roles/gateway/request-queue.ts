/** Requests of one service that are queued at an entry until an upstream has a free slot. */
import { orderQueue, type QueuedRequest } from '../../core/dispatch/queueing.js'
import { orderByPlace, ServiceOrder, type OrderedRequest } from '../../core/dispatch/service-order.js'
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
  /** Undefined in a service that is not ranked. */
  readonly order: OrderedRequest | undefined
}

/** Queue of one service; requests leave it in the order of `core/dispatch`. */
export class RequestQueue {
  private items: readonly QueueItem[] = []
  private lastNumber = 0
  private timer: NodeJS.Timeout | undefined
  /** Order of the requests of a ranked service, from what this queue has placed. */
  private readonly order = new ServiceOrder()

  /** Number of queued requests that are late, or of those that are not; in a ranked service, only those that are not less urgent. */
  count (isLate: boolean, order?: OrderedRequest): number {
    return this.items.filter(item => item.isLate === isLate && isNotBehind(item, order)).length
  }

  /** Whether a request that arrives now has others ahead of it: all queued ones if it is late, else those that are not late; in a ranked service, those that are not less urgent. */
  hasRequestsAhead (isLate: boolean, order?: OrderedRequest): boolean {
    return this.items.some(item => order === undefined ? isLate || !item.isLate : isNotBehind(item, order))
  }

  /** Records that a request of a ranked service has arrived. */
  recordAsked (order: OrderedRequest): void {
    this.order.recordAsked(order, monotonicNow())
  }

  /** Queues a request; resolves with the upstream whose slot it took, or with undefined once `until` (milliseconds of the monotonic clock) has passed or `signal` aborts. */
  wait (isLate: boolean, until: number, takeSlot: () => UpstreamView | undefined, signal: AbortSignal, order?: OrderedRequest): Promise<UpstreamView | undefined> {
    return new Promise(resolve => {
      this.lastNumber += 1
      const number = this.lastNumber
      const finish = (view: UpstreamView | undefined): void => {
        this.items = this.items.filter(item => item.number !== number)
        if (view !== undefined && order !== undefined) this.order.recordGranted(order, monotonicNow())
        resolve(view)
      }
      signal.addEventListener('abort', () => { finish(undefined) }, { once: true })
      this.items = [...this.items, { number, isLate, until, takeSlot, finish, order }]
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
    for (const item of this.inOrder(now)) {
      const view = item.takeSlot()
      if (view !== undefined || now >= item.until) item.finish(view)
    }
    if (this.items.length > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private inOrder (now: number): readonly QueueItem[] {
    const items = orderQueue(this.items)
    if (items.every(({ order }) => order === undefined)) return items
    return orderByPlace(items, item => item.order, this.order, now)
  }
}

/** Whether a queued request is at least as urgent as one that arrives; all are in a service that is not ranked. */
function isNotBehind (item: QueueItem, order: OrderedRequest | undefined): boolean {
  return order === undefined || item.order === undefined || item.order.rank <= order.rank
}
