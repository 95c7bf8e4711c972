/** Which loads of staged chunks the checks of these chunks vouch for. */
import type { EngineReport } from '../../types/fleet.js'

/** Longest time for which a staged chunk may have been wrong when an engine takes it, milliseconds. */
const corruptionToleranceMilliseconds = 3000
/** Time in which an order is accepted and answered, milliseconds. */
const orderMilliseconds = 1000
/** Margin for delays between the check of the times and the order, milliseconds. */
const marginMilliseconds = 500

/** Age of a check from which an order may not rest on it, milliseconds. */
export const maximumCheckAgeMilliseconds = corruptionToleranceMilliseconds - orderMilliseconds - marginMilliseconds

/** An order to load staged chunks; the engine refuses it unless it has accepted exactly `ordersBefore` orders since `startedAt`. */
export interface LoadOrder {
  readonly model: string
  readonly version: number
  readonly startedAt: number
  readonly ordersBefore: number
}

/** Whether checks that began at `checkedAt` or later are recent enough for an order that is sent now. */
export function isRecentForOrder (checkedAt: number, now: number): boolean {
  return now - checkedAt <= maximumCheckAgeMilliseconds
}

/** Whether an order is accepted, or can be no more, by what the engine reports. */
export function isSettledBy ({ startedAt, ordersBefore }: LoadOrder, report: EngineReport): boolean {
  return report.startedAt !== startedAt || report.orders > ordersBefore
}
