/** When an engine is expected to take requests, as far as its agent can tell. */
import { expectedCompletionAt, type FetchProgress } from './swap-schedule.js'

/** What the expectation follows from. */
export interface ReadyView {
  readonly now: number
  /** Whether the engine serves weights on which requests may begin. */
  readonly isServing: boolean
  /** Whether it changes its weights, or is about to. */
  readonly isSwapping: boolean
  /** The fetch of the weights that it needs; undefined before it began. */
  readonly progress: FetchProgress | undefined
}

/** Usual time of a load, milliseconds. */
const loadMilliseconds = 600
/** Step in which the time is told, milliseconds, so that it is not told anew all the time. */
const roundingMilliseconds = 200
/** Part of the chunks from which on the time of the whole copy is told. */
const minimumShare = 0.25

/** Milliseconds until the engine is expected to take requests: 0 while it does, -1 when it is not known. */
export function readyInMilliseconds (view: ReadyView): number {
  if (view.isSwapping) return loadMilliseconds
  if (view.isServing) return 0
  const completeAt = view.progress === undefined ? undefined : expectedCompletionAt(view.progress, view.now, minimumShare)
  if (completeAt === undefined) return -1
  return Math.ceil((Math.max(view.now, completeAt) - view.now + loadMilliseconds) / roundingMilliseconds) * roundingMilliseconds
}
