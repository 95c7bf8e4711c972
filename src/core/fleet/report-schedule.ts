/** Schedule of the load reports that an agent sends to its subscribers. */

/** An entry that has subscribed to load reports. */
export interface Subscriber {
  readonly ip: string
  /** Whether it is in the agent's data centre. */
  readonly isSameDataCentre: boolean
  /** Time of the last report to it, milliseconds of the monotonic clock; 0 before the first. */
  readonly reportedAt: number
  /** Text of that report. */
  readonly lastReport: string
}

/** Shortest time between two different reports, milliseconds: most requests of an engine come from entries in its data centre. */
const changedReportMilliseconds = { sameDataCentre: 100, otherDataCentre: 300 } as const
/** Shortest time between two equal reports, milliseconds. */
const unchangedReportMilliseconds = 500

/**
 * Subscribers to send the report `text` to at `now`, at most `maximumCount`, so that the traffic does not grow with the
 * number of entries. Those that are most overdue relative to their interval come first.
 */
export function dueSubscribers (subscribers: readonly Subscriber[], text: string, maximumCount: number, now: number): readonly Subscriber[] {
  const intervalsSinceReport = ({ isSameDataCentre, lastReport, reportedAt }: Subscriber): number => {
    const interval = lastReport === text ? unchangedReportMilliseconds : changedReportMilliseconds[isSameDataCentre ? 'sameDataCentre' : 'otherDataCentre']
    return (now - reportedAt) / interval
  }
  return subscribers
    .map(subscriber => ({ subscriber, intervals: intervalsSinceReport(subscriber) }))
    .filter(({ intervals }) => intervals >= 1)
    .sort((left, right) => right.intervals - left.intervals)
    .slice(0, maximumCount)
    .map(({ subscriber }) => subscriber)
}
