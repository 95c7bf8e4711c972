/** The records that a node keeps in memory to serve its followers: a state, and every record after it. */
import { configurationRecordSchema, type FoldState } from '../../types/configuration.js'
import type { StoredRecord } from '../../types/platform.js'
import { digestState, emptyFold, foldPage, snapshotPlaceholder } from './fold.js'
import { encodeState } from './peer-update.js'

/** Records kept at most. */
export const maximumWindowRecords = 512
/** Bytes of record bodies kept at most. */
export const maximumWindowBytes = 4 << 20

/** A state and the records after it; folding them gives the state in force. */
export interface RecordWindow {
  readonly base: FoldState
  readonly records: readonly StoredRecord[]
  readonly bytes: number
}

/** What a follower lacks. */
export interface CatchUp {
  /** State in the form of `writeState`, empty when records suffice. */
  readonly snapshot: string
  readonly records: readonly StoredRecord[]
}

/** Window of a node that knows nothing. */
export const emptyWindow: RecordWindow = { base: emptyFold, records: [], bytes: 0 }

/** Window after the state moved on; a state that jumped past a gap starts a new one. */
export function extendWindow (window: RecordWindow, after: FoldState, folded: readonly StoredRecord[]): RecordWindow {
  const end = window.base.next + window.records.length
  const added = folded.filter(({ offset }) => offset >= end && offset < after.next)
  if (end + added.length !== after.next || (added[0]?.offset ?? end) !== end) return { base: after, records: [], bytes: 0 }
  const records = [...window.records, ...added.map(replaceSnapshotBody)]
  return trim({ base: window.base, records, bytes: sizeOf(records) })
}

/** What a follower that lacks records from `next` on must be sent. */
export function catchUpFrom (window: RecordWindow, next: number): CatchUp {
  if (next >= window.base.next) return { snapshot: '', records: window.records.slice(next - window.base.next) }
  return { snapshot: encodeState(window.base), records: window.records }
}

/** Short digest of a state, to compare nodes at the same offset. */
export function fingerprintState (state: FoldState): string {
  return digestState(state).slice(0, fingerprintLength)
}

const fingerprintLength = 16

function trim (window: RecordWindow): RecordWindow {
  if (window.records.length <= maximumWindowRecords && window.bytes <= maximumWindowBytes) return window
  const dropped = window.records.slice(0, Math.ceil(window.records.length / 2))
  const base = foldPage(window.base, { first: window.base.next, next: window.base.next + dropped.length, records: dropped })
  const records = window.records.slice(dropped.length)
  return { base, records, bytes: sizeOf(records) }
}

/** Followers need no body of a snapshot: they hold the state that it repeats. */
function replaceSnapshotBody (stored: StoredRecord): StoredRecord {
  if (!stored.body.includes('"snapshot"')) return stored
  const parsed = configurationRecordSchema.safeParse(parseJson(stored.body))
  return parsed.success && parsed.data.type === 'snapshot' ? { ...stored, body: snapshotPlaceholder } : stored
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function sizeOf (records: readonly StoredRecord[]): number {
  return records.reduce((sum, { body }) => sum + body.length, 0)
}
