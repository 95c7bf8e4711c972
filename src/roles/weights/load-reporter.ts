/** Reports the engine's load to subscribed entries. */
import { dueSubscribers, type Subscriber } from '../../core/fleet/report-schedule.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'

/** Time after which a subscription expires, milliseconds: three intervals at which entries renew it, and some margin. */
const subscriptionTimeoutMilliseconds = 3500
/** Maximum number of reports per call of `send`; with a call each 100 ms, 120 a second for all entries together. */
const maximumReports = 12

interface SubscribedEntry extends Subscriber {
  /** Expiry, milliseconds of the monotonic clock. */
  readonly until: number
}

/** Subscriptions of entries at one agent. */
export class LoadReporter {
  private readonly subscribers = new Map<string, SubscribedEntry>()

  constructor (private readonly datagrams: DatagramSocket) {}

  /** Adds or renews an entry's subscription. */
  subscribe (ip: string, isSameDataCentre: boolean): void {
    const known = this.subscribers.get(ip) ?? { reportedAt: 0, lastReport: '' }
    this.subscribers.set(ip, { ...known, ip, isSameDataCentre, until: monotonicNow() + subscriptionTimeoutMilliseconds })
  }

  /** Sends a report to the entries that are due for one. `isClosed`: the engine accepts no requests before a swap. */
  send (report: EngineReport, isClosed: boolean, readyInMilliseconds: number): void {
    const now = monotonicNow()
    const load = {
      kind: 'load',
      startedAt: report.startedAt,
      running: report.running,
      waiting: report.waiting,
      model: report.weights?.model ?? '',
      version: report.weights?.version ?? 0,
      isSwapping: report.isSwapping || isClosed,
      readyInMilliseconds
    } as const
    const text = JSON.stringify(load)
    for (const [ip, { until }] of this.subscribers) if (until < now) this.subscribers.delete(ip)
    const due = dueSubscribers([...this.subscribers.values()], text, maximumReports, now).map(({ ip }) => ip)
    for (const ip of due) {
      const subscriber = this.subscribers.get(ip)
      if (subscriber !== undefined) this.subscribers.set(ip, { ...subscriber, reportedAt: now, lastReport: text })
    }
    this.datagrams.sendToAll(load, due)
  }
}
