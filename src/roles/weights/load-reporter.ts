/** Tells entries that ask for it how busy the engine is. */
import { dueSubscribers, type Subscriber } from '../../core/fleet/report-schedule.js'
import type { Datagrams } from '../../transports/datagrams.js'
import type { EngineReport } from '../../types/fleet.js'
import { steadyNow } from '../../utils/clock.js'

/** Silence after which an entry gets no more reports, milliseconds: three subscriptions. */
const subscriptionTimeoutMilliseconds = 3500
/** Reports at once at most; with one look in 100 ms, 120 a second for all entries together. */
const maximumReports = 12

interface SubscribedEntry extends Subscriber {
  /** Steady milliseconds. */
  readonly until: number
}

/** Subscribed entries of one agent. */
export class LoadReporter {
  private readonly subscribers = new Map<string, SubscribedEntry>()

  constructor (private readonly datagrams: Datagrams) {}

  /** Takes an entry's subscription. */
  subscribe (ip: string, isSameDataCentre: boolean): void {
    const known = this.subscribers.get(ip) ?? { reportedAt: 0, lastReport: '' }
    this.subscribers.set(ip, { ...known, ip, isSameDataCentre: isNear: isSameDataCentre, until: steadyNow() + subscriptionTimeoutMilliseconds })
  }

  /** Tells a fresh report to the entries whose turn it is. `isClosing` before a change of weights. */
  send (report: EngineReport, isClosed: boolean, readyInMilliseconds: number): void {
    const now = steadyNow()
    const load = {
      kind: 'load',
      startedAt: report.startedAt,
      running: report.running,
      waiting: report.waiting,
      model: report.weights?.model ?? '',
      version: report.weights?.version ?? 0,
      isChanging: report.isChanging || isClosed,
      readyInMilliseconds
    } as const
    const text = JSON.stringify(load)
    for (const [ip, { until }] of this.subscribers) if (until < now) this.subscribers.delete(ip)
    for (const { ip } of dueSubscribers([...this.subscribers.values()], text, maximumReports, now)) {
      const subscriber = this.subscribers.get(ip)
      if (subscriber !== undefined) this.subscribers.set(ip, { ...subscriber, reportedAt: now, lastReport: text })
      this.datagrams.send(load, ip)
    }
  }
}
