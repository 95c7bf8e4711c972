/** Placement by expected time: paces, expected times, what agents and entries tell each other, and replays of uneven upstreams. */
import { test } from 'tap'
import { EnginePace } from '../src/core/dispatch/engine-pace.js'
import { expectedTime, placementCost, type RequestWork, type UpstreamEstimate } from '../src/core/dispatch/expected-time.js'
import { placeByTime, type Candidate } from '../src/core/dispatch/placement.js'
import { expectedPace, isNewsOf, UpstreamPaces } from '../src/core/dispatch/upstream-pace.js'
import { seededRandom } from '../src/utils/random.js'
import { replayEngine } from './fakes/replay-engine.js'
import { replayUneven, type UnevenLoad, type UnevenPolicy } from './fakes/uneven-replay.js'

const seeds = [1, 2, 3, 4, 5, 6]
/** Least share of what a dispatcher serves in time that knows all loads. */
const leastShare = 0.97

function shareInTime (load: Omit<UnevenLoad, 'seed' | 'milliseconds'>, policy: UnevenPolicy): number {
  return seeds.reduce((sum, seed) => sum + replayUneven({ ...load, seed, milliseconds: 7000 }, policy), 0) / seeds.length
}

for (const entries of [8, 67, 300]) {
  for (const load of [0.6, 0.8, 0.95, 1.1]) {
    const engines = { kind: 'engines', entries, upstreams: 32, load } as const
    test(`uneven engines: ${entries} entries at ${load} of the capacity serve as many in time as one that knows all loads, and more than by number`, async t => {
      const [byTime, byNumber, allKnown] = [shareInTime(engines, 'time'), shareInTime(engines, 'number'), shareInTime(engines, 'all-known')]
      t.ok(byTime >= allKnown * leastShare, `${byTime.toFixed(3)} in time, ${allKnown.toFixed(3)} with all loads known`)
      t.ok(byTime > byNumber, `${byTime.toFixed(3)} in time, ${byNumber.toFixed(3)} by number`)
    })
    const plain = { kind: 'plain', entries, upstreams: 8, load } as const
    test(`uneven plain upstreams: ${entries} entries at ${load} of the capacity serve more in time than by number`, async t => {
      const [byTime, byNumber] = [shareInTime(plain, 'time'), shareInTime(plain, 'number')]
      t.ok(byTime > byNumber, `${byTime.toFixed(3)} in time, ${byNumber.toFixed(3)} by number`)
      if (entries > 8) return
      const allKnown = shareInTime(plain, 'all-known')
      t.ok(byTime >= allKnown * leastShare, `${allKnown.toFixed(3)} with all loads known`)
    })
  }
}

const liars: readonly { readonly name: string, readonly state: (index: number, pace: number) => number }[] = [
  { name: 'a quarter always states the usual pace', state: (index, pace) => index % 4 === 0 ? 1 : pace },
  { name: 'a quarter always states a hundredth of it', state: (index, pace) => index % 4 === 0 ? 0.01 : pace },
  { name: 'a quarter always states a hundred times of it', state: (index, pace) => index % 4 === 0 ? 100 : pace },
  { name: 'a quarter states the opposite', state: (index, pace) => index % 4 === 0 ? 3.5 - pace : pace }
]

for (const { name, state } of liars) {
  test(`uneven engines: wrong paces, bounded by what calls measure: ${name}`, async t => {
    const engines = { kind: 'engines', entries: 67, upstreams: 32, load: 0.8 } as const
    const [lying, byNumber] = [shareInTime({ ...engines, state }, 'time'), shareInTime(engines, 'number')]
    t.ok(lying >= byNumber * leastShare, `${lying.toFixed(3)} in time, ${byNumber.toFixed(3)} by number`)
  })
}

const paceCases: readonly { readonly name: string, readonly at: number | undefined, readonly is: number }[] = [
  { name: 'not stated', at: undefined, is: 1.2 },
  { name: 'just stated', at: 1000, is: 2.5 },
  { name: 'half a change ago', at: 700, is: 1.85 },
  { name: 'a change ago', at: 400, is: 1.2 },
  { name: 'long ago', at: -100_000, is: 1.2 },
  { name: 'stated in the future, by a clock that jumped', at: 2000, is: 2.5 }
]

for (const { name, at, is } of paceCases) {
  test(`expected pace: ${name}`, async t => {
    t.ok(Math.abs(expectedPace(at === undefined ? undefined : { value: 2.5, at }, 1.2, 1000) - is) < 1e-9)
  })
}

test('upstream paces: the usual pace is learnt, a relayed one does not change it, and a restart forgets both', async t => {
  const paces = new UpstreamPaces()
  for (let at = 0; at < 60_000; at += 200) paces.observe('i-1', 1, { value: 1.3, at })
  t.ok(Math.abs(paces.usualOf('i-1', 1) - 1.3) < 0.05, String(paces.usualOf('i-1', 1)))
  paces.observeRelayed('i-1', 1, { value: 2.5, at: 60_100 })
  t.equal(paces.paceOf('i-1', 1, 60_100), 2.5)
  t.ok(Math.abs(paces.paceOf('i-1', 1, 61_000) - 1.3) < 0.05)
  paces.observe('i-1', 1, { value: 1, at: 50_000 })
  t.equal(paces.paceOf('i-1', 1, 60_100), 2.5, 'an older statement is ignored')
  t.equal(paces.paceOf('i-1', 2, 60_100), 1, 'another start')
})

test('upstream paces: no figure moves the expected pace by more than a bounded factor, and measured times outweigh constant errors', async t => {
  const paces = new UpstreamPaces()
  for (const value of [100, 0.01]) {
    paces.observeRelayed('i-1', 1, { value, at: value })
    t.ok(paces.paceOf('i-1', 1, value) <= 4 && paces.paceOf('i-1', 1, value) >= 0.25)
  }
  for (const quotient of [Number.NaN, Infinity, 0, -1]) paces.recordMeasured('i-2', 1, quotient, 1)
  t.equal(paces.measuredAt('i-2', 1), undefined)
  for (let count = 0; count < 60; count += 1) paces.recordMeasured('i-2', 1, 3, 1)
  t.ok(Math.abs((paces.measuredAt('i-2', 1) ?? 0) - 3) < 0.1)
  paces.recordMeasured('i-2', 1, 1e9, 1)
  t.ok((paces.measuredAt('i-2', 1) ?? Infinity) < 4, 'one call')
})

const work: RequestWork = { promptTokens: 1000, answerTokens: 90, goalMilliseconds: 400 }
const estimate: UpstreamEstimate = { slots: 12, engine: { ...replayEngine, slots: 12 }, load: 4, unstarted: 0, pace: 1, measured: 1, isSameDataCentre: true }
const slower: readonly { readonly name: string, readonly than: Partial<UpstreamEstimate>, readonly is: Partial<UpstreamEstimate> }[] = [
  { name: 'a slow pace', than: {}, is: { pace: 2.5 } },
  { name: 'calls that took longer', than: {}, is: { measured: 2 } },
  { name: 'unread prompts', than: {}, is: { unstarted: 2 } },
  { name: 'more requests', than: {}, is: { load: 8 } },
  { name: 'nearly full slots', than: { load: 8 }, is: { load: 11 } },
  { name: 'full slots', than: { load: 11 }, is: { load: 12 } },
  { name: 'another data centre', than: {}, is: { isSameDataCentre: false } },
  { name: 'a busy local engine rather than a remote one', than: { isSameDataCentre: false }, is: { load: 14 } },
  { name: 'a plain upstream with all slots in use', than: { engine: undefined, slots: 6, load: 3 }, is: { engine: undefined, slots: 6, load: 7 } }
]

for (const { name, than, is } of slower) {
  test(`expected time: longer with ${name}`, async t => {
    t.ok(placementCost({ ...estimate, ...is }, work) > placementCost({ ...estimate, ...than }, work))
  })
}

test('expected time: a longer prompt delays the first event, a longer answer only the completion', async t => {
  const usual = expectedTime(estimate, work)
  t.ok(expectedTime(estimate, { ...work, promptTokens: 2000 }).firstEvent > usual.firstEvent)
  const longer = expectedTime(estimate, { ...work, answerTokens: 180 })
  t.equal(longer.firstEvent, usual.firstEvent)
  t.ok(longer.completion > usual.completion)
})

const candidate = (id: string, rest: Partial<Candidate> = {}): Candidate => ({ id, load: 0, freeSlots: 1, unstarted: 0, isSameDataCentre: true, penalty: 0, ...rest })

test('placement by time: entries with the same figures do not all choose the same upstream', async t => {
  const random = seededRandom(7)
  const counts = new Map<string, number>()
  for (let entry = 0; entry < 300; entry += 1) {
    const id = placeByTime(['a', 'b', 'c'].map(name => candidate(name)), ({ id: of }) => of === 'a' ? 100 : 105, 0.2, random)?.id ?? ''
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  t.ok(Math.max(...counts.values()) < 0.6 * 300, JSON.stringify([...counts]))
  t.equal(counts.size, 3)
})

test('placement by time: the least time counts, and only where a slot is free', async t => {
  const random = seededRandom(7)
  t.equal(placeByTime([candidate('a'), candidate('b')], ({ id }) => id === 'a' ? 250 : 100, 0, random)?.id, 'b')
  t.equal(placeByTime([candidate('a'), candidate('b', { freeSlots: 0 })], ({ id }) => id === 'a' ? 250 : 100, 0, random)?.id, 'a')
  t.equal(placeByTime([candidate('b', { freeSlots: 0 })], () => 1, 0, random), undefined)
})

const enginePaceCases: readonly { readonly name: string, readonly play: (pace: EnginePace) => void, readonly is: object | undefined }[] = [
  { name: 'told by an entry', play: pace => { pace.record({ startedAt: 1, pace: 2.5 }, 900) }, is: { value: 2.5, ageMilliseconds: 100 } },
  { name: 'not told', play: () => {}, is: undefined },
  { name: 'of another start', play: pace => { pace.record({ startedAt: 2, pace: 2.5 }, 900) }, is: undefined },
  { name: 'of an engine that restarted since', play: pace => { pace.record({ startedAt: 1, pace: 2.5 }, 900); pace.recordStart(2) }, is: undefined },
  { name: 'older than a change', play: pace => { pace.record({ startedAt: 1, pace: 2.5 }, 300) }, is: undefined },
  ...[0, -1, 101, Number.NaN].map(value => ({ name: `the invalid figure ${value}`, play: (pace: EnginePace) => { pace.record({ startedAt: 1, pace: value }, 900) }, is: undefined }))
]

for (const { name, play, is } of enginePaceCases) {
  test(`pace of an engine at its agent: ${name}`, async t => {
    const pace = new EnginePace()
    pace.recordStart(1)
    play(pace)
    t.same(pace.at(1000), is)
  })
}

const newsCases: readonly { readonly name: string, readonly pace: number, readonly known: number | undefined, readonly age: number, readonly usual: number, readonly is: boolean }[] = [
  { name: 'the usual pace, nothing known', pace: 1, known: undefined, age: 0, usual: 1, is: false },
  { name: 'a slow pace, nothing known', pace: 2.5, known: undefined, age: 0, usual: 1, is: true },
  { name: 'the same slow pace again', pace: 2.5, known: 2.5, age: 5, usual: 1, is: false },
  { name: 'the same slow pace, half decayed', pace: 2.5, known: 2.5, age: 300, usual: 1, is: true },
  { name: 'the usual pace while a slow one is known', pace: 1, known: 2.5, age: 100, usual: 1.2, is: true },
  { name: 'the usual pace after a slow one has decayed', pace: 1, known: 2.5, age: 700, usual: 1.2, is: false },
  { name: 'a pace that is always stated', pace: 1.5, known: undefined, age: 0, usual: 1.5, is: false }
]

for (const { name, pace, known, age, usual, is } of newsCases) {
  test(`pace reports: ${name}`, async t => {
    t.equal(isNewsOf(pace, known === undefined ? undefined : { value: known, at: 10_000 - age }, usual, 10_000), is)
  })
}
