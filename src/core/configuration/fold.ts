/** The fold of the configuration stream: a pure function of the records in offset order. */
import { configurationRecordSchema, type ChangeRecord, type FoldState, type RefusedRecord, type SnapshotRecord } from '../../types/configuration.js'
import type { StoredRecord, StreamPage } from '../../types/platform.js'
import { digestValue } from '../../utils/digest.js'
import { isAuthorised } from './signature.js'
import { applyChange, isFindings, scopeOf, globalScope } from './change.js'

const maximumRefusals = 50

/** Body that stands for a snapshot record between nodes; it changes nothing. */
export const snapshotPlaceholder = '{"type":"passed"}'

/** State before any record. */
export const emptyFold: FoldState = { next: 0, revision: -1, revisions: {}, configuration: undefined, refused: [] }

/** Folds a page; a page that starts after `state.next` is folded from a snapshot in it, or not at all. */
export function foldPage (state: FoldState, page: StreamPage): FoldState {
  const start = baseStateFor(state, page)
  return start === undefined ? state : page.records.reduce(foldRecord, start)
}

/** State from which a page is folded on: the given one, or that of a snapshot when older records expired; undefined when none fits. */
export function baseStateFor (state: FoldState, page: StreamPage): FoldState | undefined {
  return page.first > state.next ? recoverFromSnapshot(state, page) : state
}

/** Folds one record; records before `state.next` or after a gap change nothing. */
export function foldRecord (state: FoldState, stored: StoredRecord): FoldState {
  if (stored.offset !== state.next) return state
  const passed = { ...state, next: stored.offset + 1 }
  if (stored.body === snapshotPlaceholder) return passed
  const record = parseRecord(stored.body)
  if (record === undefined) return appendRefusal(passed, { offset: stored.offset, id: '', reason: 'malformed' })
  if (record.type === 'snapshot') return checkSnapshot(state, passed, stored.offset, record)
  return foldChange(passed, stored.offset, record)
}

/** Revision that a change of `scope` must name as its base. */
export function revisionOfScope (state: Pick<FoldState, 'revision' | 'revisions'>, scope: string): number {
  if (scope === globalScope) return state.revision
  return Math.max(state.revisions[scope] ?? -1, state.revisions[globalScope] ?? -1)
}

/** Snapshot record of a state that has a configuration. */
export function makeSnapshot (state: FoldState, id: string): SnapshotRecord | undefined {
  if (state.configuration === undefined) return undefined
  const { revision, revisions, configuration } = state
  return { type: 'snapshot', id, asOf: state.next - 1, digest: digestState(state), revision, revisions, configuration }
}

function foldChange (passed: FoldState, offset: number, record: ChangeRecord): FoldState {
  if (!isAuthorised(passed.configuration, record)) return appendRefusal(passed, { offset, id: record.id, reason: 'unsigned' })
  const scope = scopeOf(record.change)
  if (record.basedOn !== revisionOfScope(passed, scope)) return appendRefusal(passed, { offset, id: record.id, reason: 'stale' })
  const configuration = applyChange(passed.configuration, record.change)
  if (isFindings(configuration)) return appendRefusal(passed, { offset, id: record.id, reason: 'invalid' })
  const revisions = scope === globalScope ? { [globalScope]: offset } : { ...passed.revisions, [scope]: offset }
  return { ...passed, revision: offset, revisions, configuration }
}

function checkSnapshot (before: FoldState, passed: FoldState, offset: number, record: SnapshotRecord): FoldState {
  const comparable = record.asOf < offset && record.asOf >= before.revision
  if (!comparable || record.digest === digestState(before)) return passed
  return appendRefusal(passed, { offset, id: record.id, reason: 'snapshot-mismatch' })
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

/** Digest of what a state means; equal for a fold of all records and a fold from a snapshot. */
export function digestState ({ revision, revisions, configuration }: Pick<FoldState, 'revision' | 'revisions' | 'configuration'>): string {
  return digestValue({ revision, revisions, configuration })
}

function appendRefusal (state: FoldState, refusal: RefusedRecord): FoldState {
  return { ...state, refused: [...state.refused, refusal].slice(-maximumRefusals) }
}
