/** Property tests: the fold against a naive fold, and against snapshots, peer updates and record windows. */
import fc from 'fast-check'
import { test } from 'tap'
import { applyChange, isFindings, scopeOf } from '../src/core/configuration/change.js'
import { emptyFold, foldPage, makeSnapshot } from '../src/core/configuration/fold.js'
import { foldPeerUpdate } from '../src/core/configuration/peer-update.js'
import { emptyWindow, extendWindow, catchUpFrom, maximumWindowRecords } from '../src/core/configuration/record-window.js'
import type { Change, ChangeRecord, Configuration, FoldState } from '../src/types/configuration.js'
import type { StoredRecord } from '../src/types/platform.js'
import { changeBody, configuration } from './fakes/followers.js'

const seed = 20_260
const numRuns = 60
const corrupt = '{"type":"change","id":'

const changeOf = fc.oneof(
  fc.record({ kind: fc.constant('data-centre' as const), dataCentre: fc.constantFrom('ahmedabad', 'rajkot', 'nowhere'), state: fc.constantFrom('in' as const, 'out' as const) }),
  fc.record({ kind: fc.constant('withdraw' as const), intent: fc.constantFrom('first', 'second') }),
  fc.constantFrom('first', 'second').map((id): Change => ({ kind: 'intent', intent: { id, service: 'citations', model: 'm', adapter: null, version: '1', manifest: 'a'.repeat(64), organisations: ['ahmedabad-district'], dataCentres: ['rajkot'], finishBy: 1 } })),
  fc.constant<Change>({ kind: 'replace', configuration })
)
/** Changes based on the current revision of their scope, or on one that is `behind` by some offsets; some bodies are corrupt. */
const bodiesOf = fc.array(fc.record({ change: changeOf, behind: fc.constantFrom(0, 0, 0, 1, 3), isCorrupt: fc.integer({ min: 0, max: 9 }).map(number => number === 0) }), { maxLength: 25 })

type Generated = ReadonlyArray<{ readonly change: Change, readonly behind: number, readonly isCorrupt: boolean }>

/** Naive fold: for each record, scans all changes accepted before it. */
function naiveFold (bodies: readonly string[]): { readonly configuration: Configuration | undefined, readonly revision: number } {
  const accepted: { readonly offset: number, readonly change: Change }[] = []
  let state: Configuration | undefined
  bodies.forEach((body, offset) => {
    if (body === corrupt) return
    const { change, basedOn } = JSON.parse(body) as ChangeRecord
    const conflicting = accepted.filter(other => scopeOf(change) === '*' || scopeOf(other.change) === '*' || scopeOf(other.change) === scopeOf(change))
    if ((conflicting.at(-1)?.offset ?? -1) !== basedOn) return
    const result = applyChange(state, change)
    if (isFindings(result)) return
    state = result
    accepted.push({ offset, change })
  })
  return { configuration: state, revision: accepted.at(-1)?.offset ?? -1 }
}

function recordsOf (generated: Generated): readonly StoredRecord[] {
  const bodies = [changeBody({ kind: 'replace', configuration }, -1)]
  for (const { change, behind, isCorrupt } of generated) {
    const state = fold(bodies.map(stored))
    const scope = scopeOf(change)
    const base = scope === '*' ? state.revision : Math.max(state.revisions[scope] ?? -1, state.revisions['*'] ?? -1)
    bodies.push(isCorrupt ? corrupt : changeBody(change, Math.max(-1, base - behind), `id-${bodies.length}`))
  }
  return bodies.map(stored)
}

const stored = (body: string, offset: number): StoredRecord => ({ offset, at: 0, body })
const fold = (records: readonly StoredRecord[], from: FoldState = emptyFold): FoldState => foldPage(from, { first: 0, next: records.length, records })
const contentOf = ({ next, revision, revisions, configuration: inForce }: FoldState): unknown => ({ next, revision, revisions, configuration: inForce })

test('the fold gives the same configuration as a naive fold', async t => {
  fc.assert(fc.property(bodiesOf, generated => {
    const records = recordsOf(generated)
    const { configuration: inForce, revision } = fold(records)
    t.same({ configuration: inForce, revision }, naiveFold(records.map(({ body }) => body)))
  }), { seed, numRuns })
})

test('a snapshot and the records after it give the same state as all records', async t => {
  fc.assert(fc.property(bodiesOf, fc.nat({ max: 24 }), fc.nat({ max: 5 }), (generated, asOf, late) => {
    const records = recordsOf(generated)
    const cut = Math.min(asOf + 1, records.length)
    const snapshot = makeSnapshot(fold(records.slice(0, cut)), 'snapshot')
    const position = Math.min(cut + late, records.length)
    const bodies = records.map(({ body }) => body).toSpliced(position, 0, JSON.stringify(snapshot))
    const renumbered = bodies.map(stored)
    const page = { first: cut, next: renumbered.length, records: renumbered.slice(cut) }
    const complete = fold(renumbered)
    t.same(contentOf(foldPage(emptyFold, page)), contentOf(complete))
    t.notOk(complete.refused.some(({ reason }) => reason === 'snapshot-mismatch'))
  }), { seed, numRuns })
})

test('peer updates in any order give the same state as a read of the log, and the offset never decreases', async t => {
  fc.assert(fc.property(bodiesOf, fc.array(fc.tuple(fc.nat({ max: 26 }), fc.nat({ max: 26 }), fc.boolean()), { maxLength: 12 }), (generated, updates) => {
    const records = recordsOf(generated)
    let state = emptyFold
    for (const [base, end, hasAllRecords] of updates) {
      const known = fold(records.slice(0, Math.min(base, records.length)))
      const peer = fold(records.slice(0, Math.min(end, records.length)))
      const window = extendWindow(hasAllRecords ? emptyWindow : { base: known, records: [], bytes: 0 }, peer.next > known.next || hasAllRecords ? peer : known, records.slice(0, peer.next))
      const before = state.next
      state = foldPeerUpdate(state, catchUpFrom(window, state.next))
      t.ok(state.next >= before)
      t.same(contentOf(state), contentOf(fold(records.slice(0, state.next))))
    }
    const last = extendWindow(emptyWindow, fold(records), records)
    t.same(contentOf(foldPeerUpdate(state, catchUpFrom(last, state.next))), contentOf(fold(records)))
  }), { seed, numRuns })
})

test('a record window is bounded and still gives a new node the complete state', async t => {
  const changes = Array.from({ length: maximumWindowRecords * 3 }, (_, index) => stored(changeBody({ kind: 'data-centre', dataCentre: 'rajkot', state: index % 2 === 0 ? 'out' : 'in' }, index), index + 1))
  const records = [stored(changeBody({ kind: 'replace', configuration }, -1), 0), ...changes]
  let window = emptyWindow
  let state = emptyFold
  for (const record of records) {
    const next = foldPage(state, { first: 0, next: record.offset + 1, records: [record] })
    window = extendWindow(window, next, [record])
    state = next
    if (window.records.length > maximumWindowRecords) t.fail('the window exceeds its maximum number of records')
  }
  t.same(contentOf(foldPeerUpdate(emptyFold, catchUpFrom(window, 0))), contentOf(state))
  t.ok(window.base.next > 0)
})
