/** Estimates when an engine takes requests again, from the view of its agent. */
import type { Delivery } from './delivery-estimate.js'

/** Input of the estimate. */
export interface ReadyView {
  /** Whether the engine serves weights on which requests may start. */
  readonly isServing: boolean
  /** Whether the engine swaps its weights, or drains for a swap. */
  readonly isSwapping: boolean
  /** Whether a complete copy of newer weights is held, to which the engine is about to swap. */
  readonly isComplete: boolean
  /** Delivery of the weights that it serves next; undefined before they are known. */
  readonly delivery: Delivery | undefined
}

/** Typical time to load weights into an engine, milliseconds. */
const loadMilliseconds = 600
/** The estimate is rounded up to a multiple of this, milliseconds, so that reports do not change on every call. */
const roundingMilliseconds = 200

/** Estimated milliseconds until the engine takes requests: 0 while it does, -1 if unknown, as while chunks are missing everywhere and the origin is away. */
export function readyInMilliseconds (view: ReadyView): number {
  if (view.isSwapping) return loadMilliseconds
  if (view.isServing) return 0
  if (view.delivery === undefined || (view.delivery.isBlocked && !view.isComplete)) return -1
  return Math.ceil(view.delivery.milliseconds / roundingMilliseconds) * roundingMilliseconds
}
