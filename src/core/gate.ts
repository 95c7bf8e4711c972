/** The weight gate and the orders behind it: what may be served and who may order, from what was read back. */
import type { LeaseRecord } from '../types/configuration.js'
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

/** Where an agent's lease on its instance's engine stands. */
export interface LeaseView {
  /** Offset of the own lease record, which is the fencing number; undefined until it was read back. */
  readonly fence: number | undefined
  /** Whether a later record names another holder; it never turns back. */
  readonly superseded: boolean
  /** Ids of the records seen, so that a record appended twice counts once. */
  readonly seen: readonly string[]
}

/** View before any record was read. */
export const noLease: LeaseView = { fence: undefined, superseded: false, seen: [] }

const rememberedRecords = 32

/** View after one more record of the leases stream; `ownId` is the id of the own record. */
export function foldLease (view: LeaseView, instance: string, ownId: string, offset: number, record: LeaseRecord): LeaseView {
  if (record.instance !== instance || view.seen.includes(record.id)) return view
  const seen = [...view.seen, record.id].slice(-rememberedRecords)
  if (record.id === ownId) return { ...view, fence: offset, seen }
  return { ...view, superseded: view.superseded || view.fence !== undefined, seen }
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

/** Whether an agent may send an order now. */
export function mayOrder (lease: LeaseView): boolean {
  return lease.fence !== undefined && !lease.superseded
}

/** Whether an upstream has to be taken as cold after its state changed. */
export function turnsCold (before: EngineState | undefined, after: EngineState): boolean {
  return before !== undefined && (before.incarnation !== after.incarnation || before.weights !== after.weights)
}
