/** Outcome of an operator's change, found by reading its record back from the log. */
import type { KeyObject } from 'node:crypto'
import { configurationRecordSchema, type Change, type ChangeRecord, type Configuration, type FoldState, type RefusedRecord } from '../../types/configuration.js'
import type { StreamPage } from '../../types/platform.js'
import { canonicalJson } from '../../utils/digest.js'
import { scopeOf } from './change.js'
import { signChange } from './signature.js'
import { foldRecord, revisionOfScope, baseStateFor } from './fold.js'

/** Outcome of a change; `state` is the fold up to where it was decided. */
export type ChangeOutcome =
  | { readonly tag: 'accepted', readonly offset: number, readonly state: FoldState }
  | { readonly tag: 'refused', readonly offset: number, readonly reason: RefusedRecord['reason'], readonly state: FoldState }
  /** Not in the log before `state.next`; the record may still appear while the result of its append is unknown. */
  | { readonly tag: 'absent', readonly state: FoldState }

/** Record of a change based on the state `seen`, signed if a private Ed25519 key is given; `at` in epoch milliseconds. */
export function createChangeRecord (seen: FoldState, change: Change, id: string, author: string, at: number, key?: KeyObject): ChangeRecord {
  const record: ChangeRecord = { type: 'change', id, basedOn: revisionOfScope(seen, scopeOf(change)), author, at, change }
  return key === undefined ? record : signChange(record, key)
}

/** Searches the page that follows `state` for the record `id`. */
export function resolveChange (state: FoldState, page: StreamPage, id: string): ChangeOutcome {
  let folded = baseStateFor(state, page) ?? state
  for (const stored of page.records) {
    folded = foldRecord(folded, stored)
    if (recordId(stored.body) !== id || folded.next <= stored.offset) continue
    const refusal = folded.refused.find(({ offset }) => offset === stored.offset)
    if (refusal !== undefined) return { tag: 'refused', offset: stored.offset, reason: refusal.reason, state: folded }
    return { tag: 'accepted', offset: stored.offset, state: folded }
  }
  return { tag: 'absent', state: folded }
}

/** Whether a change that was refused as stale may be appended again: the changes accepted since left its part as in the state `seen`; never for a `replace`. */
export function mayRebase (change: Change, seen: FoldState, current: FoldState): boolean {
  const scope = scopeOf(change)
  if (change.kind === 'replace' || seen.configuration === undefined || current.configuration === undefined) return false
  const revision = current.revisions[scope]
  if (revision !== undefined && revision !== seen.revisions[scope]) return false
  return canonicalJson(scopedValue(seen.configuration, change)) === canonicalJson(scopedValue(current.configuration, change))
}

function scopedValue (configuration: Configuration, change: Exclude<Change, { kind: 'replace' }>): unknown {
  switch (change.kind) {
    case 'data-centre': return configuration.dataCentres[change.dataCentre] ?? null
    case 'intent': return configuration.intents[change.intent.id] ?? null
    case 'withdraw': return configuration.intents[change.intent] ?? null
  }
}

function recordId (body: string): string | undefined {
  try {
    const parsed = configurationRecordSchema.safeParse(JSON.parse(body))
    return parsed.success ? parsed.data.id : undefined
  } catch {
    return undefined
  }
}
