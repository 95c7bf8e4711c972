/** The weight gate: whether requests may enter, from what the engine itself reports. */
import type { EngineState } from '../types/platform.js'

/** What the gate looks at; all of it is read after the last order, never assumed. */
export interface GateView {
  /** Digest wanted, empty for none. */
  readonly wanted: string
  /** Last state that the engine reported, undefined until it did. */
  readonly engine: EngineState | undefined
  /** Whether an order is under way or its result is unread. */
  readonly ordering: boolean
}

/** Digest of the weights that requests may use now; empty while the gate is closed. */
export function servedWeights (view: GateView): string {
  if (view.ordering || view.engine === undefined) return ''
  if (view.engine.loading !== null || view.engine.weights === null) return ''
  return view.engine.weights
}

/** Whether the engine should be ordered to load: the chunks are whole and the engine serves something else. */
export function needsOrder (view: GateView, whole: boolean): boolean {
  if (view.wanted === '' || !whole || view.ordering || view.engine === undefined) return false
  return view.engine.loading === null && view.engine.weights !== view.wanted
}
