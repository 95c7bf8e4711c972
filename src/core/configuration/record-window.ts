/** Records that a node retains in memory for its followers: a state, and every record after it. */
import { configurationRecordSchema, type FoldState } from '../../types/configuration.js'
import type { StoredRecord } from '../../types/platform.js'
import { digestState, emptyFold, foldPage, snapshotPlaceholder } from './fold.js'
import { encodeState } from './peer-update.js'

/** Maximum number of retained records. */
export const maximumWindowRecords = 512
/** Maximum size of the retained record bodies, counted in UTF-16 code units (bytes for ASCII). */
export const maximumWindowBytes = 4 << 20

/** State and the records after it; folding them gives the state in force. */
export interface RecordWindow {
  readonly base: FoldState
  readonly records: readonly StoredRecord[]
  /** Size of the record bodies, in UTF-16 code units. */
  readonly bytes: number
}

/** State and records that a follower lacks. */
export interface CatchUp {
  /** State as encoded by `encodeState`, empty when the records suffice. */
  readonly snapshot: string
  readonly records: readonly StoredRecord[]
}

/** Window of a node without any record. */
export const emptyWindow: RecordWindow = { base: emptyFold, records: [], bytes: 0 }

/** Window after the state advanced to `after` by the records `folded`; a state that skipped records starts a new window. */
export function extendWindow (window: RecordWindow, after: FoldState, folded: readonly StoredRecord[]): RecordWindow {
  const windowEnd = window.base.next + window.records.length
  const added = folded.filter(({ offset }) => offset >= windowEnd && offset < after.next)
  if (windowEnd + added.length !== after.next || (added[0]?.offset ?? windowEnd) !== windowEnd) return { base: after, records: [], bytes: 0 }
  const records = [...window.records, ...added.map(replaceSnapshotBody)]
  return trim({ base: window.base, records, bytes: sizeOf(records) })
}

/** Update for a follower whose next offset is `next`. */
export function catchUpFrom (window: RecordWindow, next: number): CatchUp {
  if (next >= window.base.next) return { snapshot: '', records: window.records.slice(next - window.base.next) }
  return { snapshot: encodeState(window.base), records: window.records }
}

/** Start of the digest of a state, in hexadecimal; compares nodes at the same offset. */
export function fingerprintState (state: FoldState): string {
  return digestState(state).slice(0, fingerprintLength)
}

const fingerprintLength = 16

/** Folds the older half of the records into the base state when the window exceeds a limit. */
function trim (window: RecordWindow): RecordWindow {
  if (window.records.length <= maximumWindowRecords && window.bytes <= maximumWindowBytes) return window
  const folded = window.records.slice(0, Math.ceil(window.records.length / 2))
  const base = foldPage(window.base, { first: window.base.next, next: window.base.next + folded.length, records: folded })
  const records = window.records.slice(folded.length)
  return { base, records, bytes: sizeOf(records) }
}

/** Replaces the body of a snapshot by the placeholder: followers already have its state. */
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
