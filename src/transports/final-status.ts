/** Which statuses an HTTP answer may end with. */

/** Lowest and highest status of a final answer; those below are interim ones or none at all. */
const [lowestFinalStatus, highestFinalStatus] = [200, 599] as const

/** Whether a final answer may have a status; Node's client passes on any three digits. */
export function isFinalStatus (status: number): boolean {
  return status >= lowestFinalStatus && status <= highestFinalStatus
}
