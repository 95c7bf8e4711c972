/** Fold of the configuration stream: the configuration in force as a pure function of the records in offset order. */
import { configurationRecordSchema, type ChangeRecord, type FoldState, type RefusedRecord, type SnapshotRecord } from '../../types/configuration.js'
import type { StoredRecord, StreamPage } from '../../types/platform.js'
import { digestValue } from '../../utils/digest.js'
import { isAuthorised } from './signature.js'
import { applyChange, isFindings, scopeOf, globalScope } from './change.js'

/** Refused records that the state retains, for display. */
const maximumRefusals = 50

/** Body that replaces a snapshot record sent between nodes, so that offsets stay contiguous; the fold only advances past it. */
export const snapshotPlaceholder = '{"type":"passed"}'

/** State before any record. */
export const emptyFold: FoldState = { next: 0, revision: -1, revisions: {}, configuration: undefined, refused: [] }

/** Folds a page. After a gap it is folded from a snapshot in the page; without one the state stays unchanged. */
export function foldPage (state: FoldState, page: StreamPage): FoldState {
  const start = baseStateFor(state, page)
  return start === undefined ? state : page.records.reduce(foldRecord, start)
}

/** State from which a page is folded: the given one, or that of a snapshot in the page when the records before it expired; undefined without one. */
export function baseStateFor (state: FoldState, page: StreamPage): FoldState | undefined {
  return page.first > state.next ? recoverFromSnapshot(state, page) : state
}

/** Folds one record; a record at any other offset than `state.next` is ignored. */
export function foldRecord (state: FoldState, stored: StoredRecord): FoldState {
  if (stored.offset !== state.next) return state
  const advanced = { ...state, next: stored.offset + 1 }
  if (stored.body === snapshotPlaceholder) return advanced
  const record = parseRecord(stored.body)
  if (record === undefined) return appendRefusal(advanced, { offset: stored.offset, id: '', reason: 'malformed' })
  if (record.type === 'snapshot') return checkSnapshot(state, advanced, stored.offset, record)
  return foldChange(advanced, stored.offset, record)
}

/** Revision that a change of `scope` must be based on, -1 before the first change. */
export function revisionOfScope (state: Pick<FoldState, 'revision' | 'revisions'>, scope: string): number {
  if (scope === globalScope) return state.revision
  return Math.max(state.revisions[scope] ?? -1, state.revisions[globalScope] ?? -1)
}

/** Snapshot record of a state, undefined without a configuration. */
export function makeSnapshot (state: FoldState, id: string): SnapshotRecord | undefined {
  if (state.configuration === undefined) return undefined
  const { revision, revisions, configuration } = state
  return { type: 'snapshot', id, asOf: state.next - 1, digest: digestState(state), revision, revisions, configuration }
}

function foldChange (advanced: FoldState, offset: number, record: ChangeRecord): FoldState {
  if (!isAuthorised(advanced.configuration, record)) return appendRefusal(advanced, { offset, id: record.id, reason: 'unsigned' })
  const scope = scopeOf(record.change)
  if (record.basedOn !== revisionOfScope(advanced, scope)) return appendRefusal(advanced, { offset, id: record.id, reason: 'stale' })
  const configuration = applyChange(advanced.configuration, record.change)
  if (isFindings(configuration)) return appendRefusal(advanced, { offset, id: record.id, reason: 'invalid' })
  const revisions = scope === globalScope ? { [globalScope]: offset } : { ...advanced.revisions, [scope]: offset }
  return { ...advanced, revision: offset, revisions, configuration }
}

function checkSnapshot (before: FoldState, advanced: FoldState, offset: number, record: SnapshotRecord): FoldState {
  const isComparable = record.asOf < offset && record.asOf >= before.revision
  if (!isComparable || record.digest === digestState(before)) return advanced
  return appendRefusal(advanced, { offset, id: record.id, reason: 'snapshot-mismatch' })
}

function recoverFromSnapshot (state: FoldState, page: StreamPage): FoldState | undefined {
  for (const stored of page.records) {
    const record = parseRecord(stored.body)
    if (record?.type !== 'snapshot' || record.asOf + 1 < page.first || record.digest !== digestState(record)) continue
    const { revision, revisions, configuration } = record
    return { next: record.asOf + 1, revision, revisions, configuration, refused: state.refused }
  }
  return undefined
}

function parseRecord (body: string): ChangeRecord | SnapshotRecord | undefined {
  try {
    return configurationRecordSchema.parse(JSON.parse(body))
  } catch {
    return undefined
  }
}

/** SHA-256 of the configuration and its revisions; equal for a fold of all records and for a fold from a snapshot. */
export function digestState ({ revision, revisions, configuration }: Pick<FoldState, 'revision' | 'revisions' | 'configuration'>): string {
  return digestValue({ revision, revisions, configuration })
}

function appendRefusal (state: FoldState, refusal: RefusedRecord): FoldState {
  return { ...state, refused: [...state.refused, refusal].slice(-maximumRefusals) }
}
