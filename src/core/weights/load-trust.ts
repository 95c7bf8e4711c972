/** Which loads of staged chunks the checks of these chunks vouch for. */
import type { EngineReport, VouchedLoad } from '../../types/fleet.js'
import type { LoadReport } from '../../types/node-messages.js'

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

/** When an engine accepted an order: after `after` and not later than `by`, milliseconds of the monotonic clock. */
export interface AcceptanceTime {
  readonly after: number
  readonly by: number
}

/** Checks of staged chunks; all times in milliseconds of the monotonic clock. */
export interface ChunkChecks {
  /** When the oldest of the chunks' last checks began; 0 if a chunk was not checked. */
  readonly oldestAt: number
  /** End of the last time in which a chunk may have been wrong for longer than allowed; 0 for none. */
  readonly lapsedUntil: number
  /** Whether a call that staged a chunk was not answered lately: it may still replace what was checked. */
  readonly mayBeReplaced: boolean
}

/** Whether checks that began at `checkedAt` or later are recent enough for an order that is sent now. */
export function isRecentForOrder (checkedAt: number, now: number): boolean {
  return now - checkedAt <= maximumCheckAgeMilliseconds
}

/** Whether a chunk that was right at `checkedAt` cannot have been wrong for longer than allowed at `time`. */
export function isRightUntil (checkedAt: number, time: number): boolean {
  return time - checkedAt <= corruptionToleranceMilliseconds
}

/** Whether an order is accepted, or can be no more, by what the engine reports. */
export function isSettledBy ({ startedAt, ordersBefore }: LoadOrder, report: EngineReport): boolean {
  return report.startedAt !== startedAt || report.orders > ordersBefore
}

/**
 * Whether checks vouch for a load: `whole`; or the chunks have to be read again, since chunks that are right now were
 * right when they were taken: `unchecked`; or not even that tells: `doubtful`.
 */
export function judgeLoad ({ oldestAt, lapsedUntil, mayBeReplaced }: ChunkChecks, accepted: AcceptanceTime): 'whole' | 'unchecked' | 'doubtful' {
  if (lapsedUntil > accepted.after) return 'doubtful'
  return isRightUntil(oldestAt, accepted.by) && !mayBeReplaced ? 'whole' : 'unchecked'
}

/** Whether an agent's vouching is for the load that the engine has now: its orders tell that no other one followed. */
export function isVouchedFor (vouched: VouchedLoad | undefined, { startedAt, orders, isSwapping, weights }: EngineReport): boolean {
  return vouched !== undefined && !isSwapping && vouched.startedAt === startedAt && vouched.orders === orders && vouched.version === weights?.version
}

/** The load for which an agent vouches with a report; undefined if it reports its engine as closed or without weights. */
export function vouchedLoadOf ({ startedAt, orders, version, isSwapping }: LoadReport): VouchedLoad | undefined {
  return isSwapping || version === 0 || orders === undefined ? undefined : { startedAt, orders, version }
}
