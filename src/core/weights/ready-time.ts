/** Estimates when an engine takes requests again, from the view of its agent. */
import { expectedCompletionAt, type FetchProgress } from './swap-schedule.js'

/** Input of the estimate. */
export interface ReadyView {
  /** Milliseconds of the monotonic clock. */
  readonly now: number
  /** Whether the engine serves weights on which requests may start. */
  readonly isServing: boolean
  /** Whether the engine swaps its weights, or drains for a swap. */
  readonly isSwapping: boolean
  /** Progress of fetching the weights that it needs; undefined before the fetch began. */
  readonly progress: FetchProgress | undefined
}

/** Typical time to load weights into an engine, milliseconds. */
const loadMilliseconds = 600
/** The estimate is rounded up to a multiple of this, milliseconds, so that reports do not change on every call. */
const roundingMilliseconds = 200
/** Share of the chunks that must be held before an estimate is reported; an earlier one would be too inaccurate. */
const minimumShare = 0.25

/** Estimated milliseconds until the engine takes requests: 0 while it does, -1 if unknown. */
export function readyInMilliseconds (view: ReadyView): number {
  if (view.isSwapping) return loadMilliseconds
  if (view.isServing) return 0
  const completeAt = view.progress === undefined ? undefined : expectedCompletionAt(view.progress, view.now, minimumShare)
  if (completeAt === undefined) return -1
  return Math.ceil((Math.max(view.now, completeAt) - view.now + loadMilliseconds) / roundingMilliseconds) * roundingMilliseconds
}
