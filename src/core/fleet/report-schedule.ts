/** Schedule of the load reports that an agent sends to its subscribers. */

/** An entry that has subscribed to load reports. */
export interface Subscriber {
  readonly ip: string
  /** Whether it is in the agent's data centre. */
  readonly isSameDataCentre: boolean
  /** Time of the last report to it, milliseconds of the monotonic clock; 0 before the first. */
  readonly reportedAt: number
  /** What that report said, its load left out. */
  readonly lastReport: string
}

/** Shortest time between two different reports, milliseconds: most requests of an engine come from entries in its data centre. */
const changedReportMilliseconds = { sameDataCentre: 100, otherDataCentre: 300 } as const
/** Shortest time between two reports that differ in their load at most, milliseconds. */
const unchangedReportMilliseconds = 500
/** Reports a second to all subscribers together while only the load changes. */
const refreshesPerSecond = 50

/**
 * Subscribers to send the report `text` to at `now`, at most `maximumCount`. Those that are most overdue relative to their
 * interval come first. A changed load alone is no change: entries ask for each slot, and use the reported load only where
 * an agent does not answer. Reports of it become rarer with more subscribers, so that the traffic does not grow with them.
 */
export function dueSubscribers (subscribers: readonly Subscriber[], text: string, maximumCount: number, now: number): readonly Subscriber[] {
  const refreshMilliseconds = Math.max(unchangedReportMilliseconds, subscribers.length / refreshesPerSecond * 1000)
  const intervalsSinceReport = ({ isSameDataCentre, lastReport, reportedAt }: Subscriber): number => {
    const interval = lastReport === text ? refreshMilliseconds : changedReportMilliseconds[isSameDataCentre ? 'sameDataCentre' : 'otherDataCentre']
    return (now - reportedAt) / interval
  }
  return subscribers
    .map(subscriber => ({ subscriber, intervals: intervalsSinceReport(subscriber) }))
    .filter(({ intervals }) => intervals >= 1)
    .sort((left, right) => right.intervals - left.intervals)
    .slice(0, maximumCount)
    .map(({ subscriber }) => subscriber)
}

/** Shortest time between two renewals of a subscription, milliseconds. */
const renewalMilliseconds = 1000
/** Renewals a second that one agent receives from all entries together. */
const renewalsPerSecond = 33

/** Time after which each of `entries` renews its subscription at an agent, milliseconds: longer with more entries, so that what an agent receives does not grow with them. */
export function subscriptionRenewalMilliseconds (entries: number): number {
  return Math.max(renewalMilliseconds, entries / renewalsPerSecond * 1000)
}
