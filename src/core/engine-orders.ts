/** Which weights an engine may serve, when it needs an order to load others, and which agent may send it; based only on state that was read back. */
import type { LeaseRecord } from '../types/configuration.js'
import type { EngineState } from '../types/platform.js'

/** Engine state and order status of an instance; the engine state was read after the last order. */
export interface EngineView {
  /** Manifest digest that the engine should serve, empty for none. */
  readonly wanted: string
  /** Last state that the engine reported, undefined before the first report. */
  readonly engine: EngineState | undefined
  /** Whether an order is in progress or its result has not been read yet. */
  readonly isOrdering: boolean
}

/** State of this agent's lease on the engine of its instance. */
export interface LeaseState {
  /** Offset of this agent's lease record, used as fencing token; undefined until the record was read back. */
  readonly fence: number | undefined
  /** Whether a later record names another holder; never reset. */
  readonly isSuperseded: boolean
  /** Offset of the latest record that took effect, of any holder; undefined before the first. */
  readonly latest: number | undefined
  /** Ids of the latest records, so that a record that was appended twice counts once. */
  readonly seen: readonly string[]
}

/** Lease state before any record was read. */
export const noLease: LeaseState = { fence: undefined, isSuperseded: false, latest: undefined, seen: [] }

const maximumSeenRecords = 32

/**
 * Folds the next record of the leases stream; `leaseId` is the id of this agent's record. An append without an answer may
 * be executed when its agent has ended: a record whose agent had not read the latest lease has no effect.
 */
export function foldLease (lease: LeaseState, instance: string, leaseId: string, offset: number, record: LeaseRecord): LeaseState {
  if (record.instance !== instance || lease.seen.includes(record.id)) return lease
  const seen = [...lease.seen, record.id].slice(-maximumSeenRecords)
  const isOutdated = record.after !== undefined && lease.latest !== undefined && lease.latest >= record.after
  if (isOutdated) return { ...lease, seen }
  if (record.id === leaseId) return { ...lease, fence: offset, latest: offset, seen }
  return { ...lease, isSuperseded: lease.isSuperseded || lease.fence !== undefined, latest: offset, seen }
}

/** Whether this agent's record was read back without an effect, so that it needs another one. */
export function needsNewLease (lease: LeaseState, leaseId: string): boolean {
  return lease.fence === undefined && lease.seen.includes(leaseId)
}

/** Manifest digest of the weights that requests may use; empty while an order is in progress or the engine serves none. */
export function servedWeights (view: EngineView): string {
  if (view.isOrdering || view.engine === undefined) return ''
  if (view.engine.loading !== null || view.engine.weights === null) return ''
  return view.engine.weights
}

/** Whether to order the engine to load the wanted weights: all chunks are present (`isComplete`) and the engine serves other weights. */
export function needsLoadOrder (view: EngineView, isComplete: boolean): boolean {
  if (view.wanted === '' || !isComplete || view.isOrdering || view.engine === undefined) return false
  return view.engine.loading === null && view.engine.weights !== view.wanted
}

/** Whether this agent may send an order. */
export function mayOrder (lease: LeaseState): boolean {
  return lease.fence !== undefined && !lease.isSuperseded
}

/** Whether an upstream counts as cold after a state change: its engine restarted or serves other weights. */
export function becomesCold (before: EngineState | undefined, after: EngineState): boolean {
  return before !== undefined && (before.incarnation !== after.incarnation || before.weights !== after.weights)
}
