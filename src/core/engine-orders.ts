/** The weight gate and the orders behind it: what may be served and who may order, from what was read back. */
import type { LeaseRecord } from '../types/configuration.js'
import type { EngineState } from '../types/platform.js'

/** What the gate looks at; all of it is read after the last order, never assumed. */
export interface EngineView {
  /** Digest wanted, empty for none. */
  readonly wanted: string
  /** Last state that the engine reported, undefined until it did. */
  readonly engine: EngineState | undefined
  /** Whether an order is under way or its result is unread. */
  readonly isOrdering: boolean
}

/** Where an agent's lease on its instance's engine stands. */
export interface LeaseState {
  /** Offset of the own lease record, which is the fencing number; undefined until it was read back. */
  readonly fence: number | undefined
  /** Whether a later record names another holder; it never turns back. */
  readonly isSuperseded: boolean
  /** Ids of the records seen, so that a record appended twice counts once. */
  readonly seen: readonly string[]
}

/** View before any record was read. */
export const noLease: LeaseState = { fence: undefined, isSuperseded: false, seen: [] }

const maximumSeenRecords = 32

/** View after one more record of the leases stream; `ownId` is the id of the own record. */
export function foldLease (view: LeaseState, instance: string, ownId: string, offset: number, record: LeaseRecord): LeaseState {
  if (record.instance !== instance || view.seen.includes(record.id)) return view
  const seen = [...view.seen, record.id].slice(-maximumSeenRecords)
  if (record.id === ownId) return { ...view, fence: offset, seen }
  return { ...view, isSuperseded: view.isSuperseded || view.fence !== undefined, seen }
}

/** Digest of the weights that requests may use now; empty while the gate is closed. */
export function servedWeights (view: EngineView): string {
  if (view.isOrdering || view.engine === undefined) return ''
  if (view.engine.loading !== null || view.engine.weights === null) return ''
  return view.engine.weights
}

/** Whether the engine should be ordered to load: the chunks are whole and the engine serves something else. */
export function needsLoadOrder (view: EngineView, whole: boolean): boolean {
  if (view.wanted === '' || !whole || view.isOrdering || view.engine === undefined) return false
  return view.engine.loading === null && view.engine.weights !== view.wanted
}

/** Whether an agent may send an order now. */
export function mayOrder (lease: LeaseState): boolean {
  return lease.fence !== undefined && !lease.isSuperseded
}

/** Whether an upstream has to be taken as cold after its state changed. */
export function becomesCold (before: EngineState | undefined, after: EngineState): boolean {
  return before !== undefined && (before.incarnation !== after.incarnation || before.weights !== after.weights)
}
