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
/** Bodies whose base is that of the fold so far, or one that is `behind` by some offsets. */
const bodiesOf = fc.array(fc.record({ change: changeOf, behind: fc.constantFrom(0, 0, 0, 1, 3), isCorrupt: fc.integer({ min: 0, max: 9 }).map(number => number === 0) }), { maxLength: 25 })

type Drawn = ReadonlyArray<{ readonly change: Change, readonly behind: number, readonly isCorrupt: boolean }>

/** A naive fold: scans all that came before for each record. */
function naiveFold (bodies: readonly string[]): { readonly configuration: Configuration | undefined, readonly revision: number } {
  const accepted: { readonly offset: number, readonly change: Change }[] = []
  let state: Configuration | undefined
  bodies.forEach((body, offset) => {
    if (body === corrupt) return
    const { change, basedOn } = JSON.parse(body) as ChangeRecord
    const rivals = accepted.filter(other => scopeOf(change) === '*' || scopeOf(other.change) === '*' || scopeOf(other.change) === scopeOf(change))
    if ((rivals.at(-1)?.offset ?? -1) !== basedOn) return
    const result = applyChange(state, change)
    if (isFindings(result)) return
    state = result
    accepted.push({ offset, change })
  })
  return { configuration: state, revision: accepted.at(-1)?.offset ?? -1 }
}

function recordsOf (drawn: Drawn): readonly StoredRecord[] {
  const bodies = [changeBody({ kind: 'replace', configuration }, -1)]
  for (const { change, behind, isCorrupt } of drawn) {
    const state = fold(bodies.map(stored))
    const scope = scopeOf(change)
    const base = scope === '*' ? state.revision : Math.max(state.revisions[scope] ?? -1, state.revisions['*'] ?? -1)
    bodies.push(isCorrupt ? corrupt : changeBody(change, Math.max(-1, base - behind), `id-${bodies.length}`))
  }
  return bodies.map(stored)
}

const stored = (body: string, offset: number): StoredRecord => ({ offset, at: 0, body })
const fold = (records: readonly StoredRecord[], from: FoldState = emptyFold): FoldState => foldPage(from, { first: 0, next: records.length, records })
const meaning = ({ next, revision, revisions, configuration: inForce }: FoldState): unknown => ({ next, revision, revisions, configuration: inForce })

test('the fold agrees with a naive fold', async t => {
  fc.assert(fc.property(bodiesOf, drawn => {
    const records = recordsOf(drawn)
    const { configuration: inForce, revision } = fold(records)
    t.same({ configuration: inForce, revision }, naiveFold(records.map(({ body }) => body)))
  }), { seed, numRuns })
})

test('a snapshot and the records after it give what all records give', async t => {
  fc.assert(fc.property(bodiesOf, fc.nat({ max: 24 }), fc.nat({ max: 5 }), (drawn, asOf, late) => {
    const records = recordsOf(drawn)
    const cut = Math.min(asOf + 1, records.length)
    const snapshot = makeSnapshot(fold(records.slice(0, cut)), 'snapshot')
    const position = Math.min(cut + late, records.length)
    const bodies = records.map(({ body }) => body).toSpliced(position, 0, JSON.stringify(snapshot))
    const moved = bodies.map(stored)
    const page = { first: cut, next: moved.length, records: moved.slice(cut) }
    const whole = fold(moved)
    t.same(meaning(foldPage(emptyFold, page)), meaning(whole))
    t.notOk(whole.refused.some(({ reason }) => reason === 'snapshot-mismatch'))
  }), { seed, numRuns })
})

test('a node that follows peers in any order gives what a direct read gives, and never steps back', async t => {
  fc.assert(fc.property(bodiesOf, fc.array(fc.tuple(fc.nat({ max: 26 }), fc.nat({ max: 26 }), fc.boolean()), { maxLength: 12 }), (drawn, hears) => {
    const records = recordsOf(drawn)
    let state = emptyFold
    for (const [base, end, keepsAll] of hears) {
      const known = fold(records.slice(0, Math.min(base, records.length)))
      const peer = fold(records.slice(0, Math.min(end, records.length)))
      const window = extendWindow(keepsAll ? emptyWindow : { base: known, records: [], bytes: 0 }, peer.next > known.next || keepsAll ? peer : known, records.slice(0, peer.next))
      const before = state.next
      state = foldPeerUpdate(state, catchUpFrom(window, state.next))
      t.ok(state.next >= before)
      t.same(meaning(state), meaning(fold(records.slice(0, state.next))))
    }
    const last = extendWindow(emptyWindow, fold(records), records)
    t.same(meaning(foldPeerUpdate(state, catchUpFrom(last, state.next))), meaning(fold(records)))
  }), { seed, numRuns })
})

test('a window is bounded and still gives a fresh node the whole state', async t => {
  const moves = Array.from({ length: maximumWindowRecords * 3 }, (_, index) => stored(changeBody({ kind: 'data-centre', dataCentre: 'rajkot', state: index % 2 === 0 ? 'out' : 'in' }, index), index + 1))
  const records = [stored(changeBody({ kind: 'replace', configuration }, -1), 0), ...moves]
  let window = emptyWindow
  let state = emptyFold
  for (const record of records) {
    const next = foldPage(state, { first: 0, next: record.offset + 1, records: [record] })
    window = extendWindow(window, next, [record])
    state = next
    if (window.records.length > maximumWindowRecords) t.fail('the window has grown too large')
  }
  t.same(meaning(foldPeerUpdate(emptyFold, catchUpFrom(window, 0))), meaning(state))
  t.ok(window.base.next > 0)
})
