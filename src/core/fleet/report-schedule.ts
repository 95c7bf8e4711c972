/** Which entries an agent tells its engine's load next. */

/** An entry that asked for reports. */
export interface Subscriber {
  readonly ip: string
  readonly isSameDataCentre: boolean
  /** Steady milliseconds of the last report to it; 0 before. */
  readonly reportedAt: number
  /** What it was told then. */
  readonly lastReport: string
}

/** Time between two reports that differ, milliseconds: most requests of an engine come from entries nearby. */
const changedReportMilliseconds = { near: 100, far: 300 } as const
/** Time between two reports that say the same, milliseconds. */
const unchangedReportMilliseconds = 500

/** Subscribers to tell `text` at `now`, `most` at once: those that waited longest for their pace first, so that the bytes do not grow with the entries. */
export function dueSubscribers (subscribers: readonly Subscriber[], text: string, most: number, now: number): readonly Subscriber[] {
  const lateness = ({ isSameDataCentre: isNear, lastReport: told, reportedAt: toldAt }: Subscriber): number => {
    const pause = told === text ? unchangedReportMilliseconds : changedReportMilliseconds[isNear ? 'near' : 'far']
    return (now - toldAt) / pause
  }
  return subscribers
    .map(subscriber => ({ subscriber, turn: lateness(subscriber) }))
    .filter(({ turn }) => turn >= 1)
    .sort((left, right) => right.turn - left.turn)
    .slice(0, most)
    .map(({ subscriber }) => subscriber)
}
