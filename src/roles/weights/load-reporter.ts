/** Reports the engine's load to subscribed entries. */
import { dueSubscribers, subscriptionRenewalMilliseconds, type Subscriber } from '../../core/fleet/report-schedule.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'

/** Missed renewals after which a subscription expires, and some margin. */
const missedRenewals = 3.5
/** Maximum number of reports per call of `send`; with a call each 100 ms, all of 120 entries learn of a change within 0.3 s. */
const maximumReports = 40
/** Steps to which the time at which the engine accepts requests is rounded, milliseconds: an estimate that moves by less is no change. */
const readyStepMilliseconds = 500

interface SubscribedEntry extends Subscriber {
  /** Expiry, milliseconds of the monotonic clock. */
  readonly until: number
}

/** Subscriptions of entries at one agent. */
export class LoadReporter {
  private readonly subscribers = new Map<string, SubscribedEntry>()

  constructor (private readonly datagrams: Pick<DatagramSocket, 'sendToAll'>) {}

  /** Adds or renews an entry's subscription. */
  subscribe (ip: string, isSameDataCentre: boolean): void {
    const known = this.subscribers.get(ip) ?? { reportedAt: 0, lastReport: '' }
    const renewalMilliseconds = subscriptionRenewalMilliseconds(this.subscribers.size)
    this.subscribers.set(ip, { ...known, ip, isSameDataCentre, until: monotonicNow() + missedRenewals * renewalMilliseconds })
  }

  /** Sends a report to the entries that are due for one. `isClosed`: the engine accepts no requests before a swap. */
  send (report: EngineReport, isClosed: boolean, readyInMilliseconds: number): void {
    const now = monotonicNow()
    const load = {
      kind: 'load',
      startedAt: report.startedAt,
      orders: report.orders,
      running: report.running,
      waiting: report.waiting,
      model: report.weights?.model ?? '',
      version: report.weights?.version ?? 0,
      isSwapping: report.isSwapping || isClosed,
      readyInMilliseconds
    } as const
    const readyStep = readyInMilliseconds <= 0 ? readyInMilliseconds : Math.round((now + readyInMilliseconds) / readyStepMilliseconds)
    const text = [load.startedAt, load.orders, load.model, load.version, load.isSwapping, readyStep].join(' ')
    for (const [ip, { until }] of this.subscribers) if (until < now) this.subscribers.delete(ip)
    const due = dueSubscribers([...this.subscribers.values()], text, maximumReports, now).map(({ ip }) => ip)
    for (const ip of due) {
      const subscriber = this.subscribers.get(ip)
      if (subscriber !== undefined) this.subscribers.set(ip, { ...subscriber, reportedAt: now, lastReport: text })
    }
    this.datagrams.sendToAll(load, due)
  }
}
