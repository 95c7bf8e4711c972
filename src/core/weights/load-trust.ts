/** Which loads of staged chunks the checks of these chunks vouch for. */

/** Longest time for which a staged chunk may have been wrong when an engine takes it, milliseconds. */
const corruptionToleranceMilliseconds = 3000
/** Time in which an order is accepted and answered, milliseconds. */
const orderMilliseconds = 1000
/** Margin for delays between the check of the times and the order, milliseconds. */
const marginMilliseconds = 500

/** Age of a check from which an order may not rest on it, milliseconds. */
export const maximumCheckAgeMilliseconds = corruptionToleranceMilliseconds - orderMilliseconds - marginMilliseconds

/** Whether checks that began at `checkedAt` or later are recent enough for an order that is sent now. */
export function isRecentForOrder (checkedAt: number, now: number): boolean {
  return now - checkedAt <= maximumCheckAgeMilliseconds
}
