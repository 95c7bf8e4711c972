/** Choice of the next chunk and its source, bitmaps, and the admission of uploads. */
import fc from 'fast-check'
import { test } from 'tap'
import { formatBitmap, countBits, emptyBitmap, hasBit, hasBitsOutside, parseBitmap, unionBitmap, withBit, type Bitmap } from '../src/core/weights/bitmap.js'
import { assignChunks, nextFetch, originWindowChunks, rankDelay, outsideWindow, type PlannedFetch, type PlanView } from '../src/core/weights/fetch-plan.js'
import { decideUpload, uploadSlots } from '../src/core/weights/upload.js'

const total = 8
const now = 10_000
const bits = (...positions: readonly number[]): Bitmap => positions.reduce(withBit, emptyBitmap(total))
const everyPosition = Array.from({ length: total }, (_, position) => position)
const idle: PlanView = {
  now,
  total,
  held: bits(),
  seen: bits(),
  assignments: { order: everyPosition, ranks: everyPosition.map(() => 0), first: [] },
  waitingSince: new Map(everyPosition.map(position => [position, now])),
  fetches: new Map(),
  peers: [],
  freePeerSlots: 4,
  sources: [{ id: 'origin', inFlight: 0, slots: 2, retryAt: 0 }, { id: 'store', inFlight: 0, slots: 1, retryAt: 0 }],
  rankMilliseconds: 1000,
  fetchesPerPeer: 2,
  startPosition: 0
}
const peer = (instance: string, held: Bitmap, inFlight = 0, retryAt = 0, isTrusted = true) => ({ instance, held, inFlight, retryAt, isTrusted })

const cases: readonly { readonly name: string, readonly view: Partial<PlanView>, readonly expected: PlannedFetch | undefined }[] = [
  { name: 'fetches a chunk that it is the primary fetcher of from the origin', view: {}, expected: { position: 0, source: 'origin', kind: 'outside' } },
  { name: 'waits while a lower rank may still fetch', view: { assignments: { order: everyPosition, ranks: everyPosition.map(() => 1), first: [] } }, expected: undefined },
  { name: 'takes over from a lower rank once its delay has passed', view: { now: now + 1000, assignments: { order: everyPosition, ranks: everyPosition.map(() => 1), first: [] } }, expected: { position: 0, source: 'origin', kind: 'outside' } },
  { name: 'fetches a chunk that a peer offers from the peer', view: { peers: [peer('one', bits(...everyPosition))] }, expected: { position: 0, source: 'one', kind: 'peer' } },
  { name: 'fetches from the origin what only an untrusted peer reports to hold', view: { peers: [peer('one', bits(...everyPosition), 0, now + 1, false)] }, expected: { position: 0, source: 'origin', kind: 'outside' } },
  { name: 'uses the store while the origin must not be retried', view: { sources: [{ id: 'origin', inFlight: 0, slots: 2, retryAt: now + 1 }, { id: 'store', inFlight: 0, slots: 1, retryAt: 0 }] }, expected: { position: 0, source: 'store', kind: 'outside' } },
  { name: 'uses no other source while the origin is at capacity', view: { sources: [{ id: 'origin', inFlight: 2, slots: 2, retryAt: 0 }, { id: 'store', inFlight: 0, slots: 1, retryAt: 0 }] }, expected: undefined },
  { name: 'fetches the rarest chunk first', view: { waitingSince: new Map(), peers: [peer('one', bits(1, 2)), peer('two', bits(1))] }, expected: { position: 2, source: 'one', kind: 'peer' } },
  { name: 'uses the holder with the fewest fetches in progress', view: { waitingSince: new Map(), peers: [peer('one', bits(1), 1), peer('two', bits(1))] }, expected: { position: 1, source: 'two', kind: 'peer' } },
  { name: 'requests nothing from a busy peer before its retry time', view: { waitingSince: new Map(), peers: [peer('one', bits(1), 0, now + 1)] }, expected: undefined },
  { name: 'breaks ties from its own start position', view: { waitingSince: new Map(), startPosition: 5, peers: [peer('one', bits(1, 6))] }, expected: { position: 6, source: 'one', kind: 'peer' } },
  { name: 'does not fetch a chunk twice at the same time', view: { waitingSince: new Map(), fetches: new Map([[1, { sources: ['one'], hedgeAt: now + 1 }]]), peers: [peer('one', bits(1)), peer('two', bits(1))] }, expected: undefined },
  { name: 'hedges a slow fetch with another peer', view: { waitingSince: new Map(), fetches: new Map([[1, { sources: ['one'], hedgeAt: now }]]), peers: [peer('one', bits(1)), peer('two', bits(1))] }, expected: { position: 1, source: 'two', kind: 'peer' } },
  { name: 'hedges only once', view: { waitingSince: new Map(), fetches: new Map([[1, { sources: ['one', 'two'], hedgeAt: now }]]), peers: [peer('one', bits(1)), peer('two', bits(1)), peer('three', bits(1))] }, expected: undefined },
  { name: 'has nothing to fetch once every chunk is held', view: { held: bits(...everyPosition), peers: [peer('one', bits(...everyPosition))] }, expected: undefined }
]

for (const { name, view, expected } of cases) {
  test(`the plan ${name}`, async t => {
    t.same(nextFetch({ ...idle, ...view }), expected)
  })
}

/** Reference implementation: ranks every pair of chunk and source by the documented rules. */
function naiveNextFetch (view: PlanView): PlannedFetch | undefined {
  const isFree = (position: number, source: string): boolean => {
    const sources = view.fetches.get(position)?.sources ?? []
    const hedges = sources.length === 1 && view.now >= (view.fetches.get(position)?.hedgeAt ?? 0) && !sources.includes(source)
    return !hasBit(view.held, position) && (sources.length === 0 || hedges)
  }
  const holders = (position: number): number => view.peers.filter(({ held }) => hasBit(held, position)).length
  const outside = view.sources.filter(source => source.retryAt <= view.now).slice(0, 1).filter(source => source.inFlight < source.slots)
  const dueAt = (position: number): number => (view.waitingSince.get(position) ?? Infinity) + rankDelay(view.assignments.ranks[position] ?? 0, view.rankMilliseconds)
  const fromOutside = view.assignments.order.flatMap(position => outside.map(({ id }) => ({ position, source: id, kind: 'outside' as const })))
    .filter(({ position, source }) => dueAt(position) <= view.now && view.peers.every(({ held, isTrusted }) => !isTrusted || !hasBit(held, position)) && isFree(position, source))
  if (fromOutside[0] !== undefined) return fromOutside[0]
  if (view.freePeerSlots <= 0) return undefined
  const ready = view.peers.filter(({ retryAt, inFlight }) => retryAt <= view.now && inFlight < view.fetchesPerPeer)
  const fromPeers = everyPosition.flatMap(position => ready.filter(({ held, instance }) => hasBit(held, position) && isFree(position, instance))
    .map(({ instance, inFlight }) => ({ position, instance, key: [holders(position), (position - view.startPosition + total) % total, inFlight, view.peers.findIndex(other => other.instance === instance)] })))
  fromPeers.sort((left, right) => left.key.map((part, index) => part - (right.key[index] ?? 0)).find(difference => difference !== 0) ?? 0)
  const [best] = fromPeers
  return best === undefined ? undefined : { position: best.position, source: best.instance, kind: 'peer' }
}

const someBits = fc.uniqueArray(fc.nat(total - 1)).map(positions => bits(...positions))
const someTime = fc.integer({ min: now - 5000, max: now + 1000 })
const somePeers = fc.uniqueArray(fc.record({ instance: fc.constantFrom('one', 'two', 'three', 'four'), held: someBits, inFlight: fc.nat(3), retryAt: someTime, isTrusted: fc.boolean() }), { selector: ({ instance }) => instance })
const someSources = fc.tuple(fc.record({ id: fc.constant('origin'), inFlight: fc.nat(2), slots: fc.constant(2), retryAt: someTime }), fc.record({ id: fc.constant('store'), inFlight: fc.nat(1), slots: fc.constant(1), retryAt: someTime }))
const someFetches = fc.array(fc.tuple(fc.nat(total - 1), fc.record({ sources: fc.uniqueArray(fc.constantFrom('one', 'two', 'origin'), { minLength: 1, maxLength: 2 }), hedgeAt: someTime })))
const someView: fc.Arbitrary<PlanView> = fc.record({
  now: fc.constant(now),
  total: fc.constant(total),
  held: someBits,
  seen: someBits,
  assignments: fc.array(fc.nat(4), { minLength: total, maxLength: total }).map(ranks => ({ order: everyPosition, ranks, first: [] })),
  waitingSince: fc.array(fc.tuple(fc.nat(total - 1), someTime)).map(pairs => new Map(pairs)),
  fetches: someFetches.map(pairs => new Map(pairs)),
  peers: somePeers,
  freePeerSlots: fc.nat(2),
  sources: someSources,
  rankMilliseconds: fc.constant(500),
  fetchesPerPeer: fc.constant(2),
  startPosition: fc.nat(total - 1)
})

test('the plan agrees with the reference implementation', async t => {
  let fetchCount = 0
  fc.assert(fc.property(someView, view => {
    const planned = nextFetch(view)
    if (planned !== undefined) fetchCount += 1
    t.same(planned, naiveNextFetch(view))
  }), { seed: 7, numRuns: 3000 })
  t.ok(fetchCount > 500, 'enough views lead to a fetch')
})

test('each chunk has one primary fetcher, whatever the order of the members', async t => {
  const chunks = Array.from({ length: 40 }, (_, index) => `chunk-${index}`)
  const members = ['a', 'b', 'c', 'd', 'e']
  const ranks = members.map(instance => assignChunks(chunks, instance, [...members].reverse()).ranks)
  for (const [position] of chunks.entries()) t.same(ranks.map(row => row[position]).sort(), [0, 1, 2, 3, 4])
  const { first } = assignChunks(chunks, 'a', members)
  for (const [position, instance] of first.entries()) t.equal(ranks[members.indexOf(instance)]?.[position], 0)
  t.same(assignChunks(chunks, 'f', members).ranks.length, 40, 'an unlisted instance has ranks as well')
})

test('the window holds the first chunks that no instance holds', async t => {
  const order = Array.from({ length: 20 }, (_, position) => position)
  const seen = [0, 1, 3].reduce(withBit, emptyBitmap(20))
  t.same(outsideWindow({ order, ranks: [], first: [] }, seen), [2, 4, 5, 6, 7, 8])
  t.equal(outsideWindow({ order, ranks: [], first: [] }, seen).length, originWindowChunks)
})

test('bitmaps are sets of positions', async t => {
  fc.assert(fc.property(fc.uniqueArray(fc.nat(36)), fc.uniqueArray(fc.nat(36)), (left, right) => {
    const [one, two] = [left, right].map(positions => positions.reduce(withBit, emptyBitmap(37))) as [Bitmap, Bitmap]
    t.equal(countBits(unionBitmap(one, two), 37), new Set([...left, ...right]).size)
    t.equal(hasBitsOutside(one, two), left.some(position => !right.includes(position)))
    t.same(parseBitmap(formatBitmap(one), 37), one)
  }), { seed: 7, numRuns: 200 })
  t.equal(parseBitmap(formatBitmap(emptyBitmap(37)), 50), undefined, 'a bitmap of another length is rejected')
})

const uploadCases = [
  { name: 'is admitted while a slot is free', running: uploadSlots - 1, finishBy: 5, earliest: 5, type: 'send' },
  { name: 'is refused as busy when every slot is taken', running: uploadSlots, finishBy: 5, earliest: 5, type: 'busy' },
  { name: 'leaves the last slot to the earliest deadline', running: uploadSlots - 1, finishBy: 6, earliest: 5, type: 'busy' }
] as const

for (const { name, running, finishBy, earliest, type } of uploadCases) {
  test(`an upload ${name}`, async t => {
    const decision = decideUpload({ running, finishBy, earliestFinishBy: earliest, uploadMilliseconds: 90 })
    t.equal(decision.type, type)
    if (decision.type === 'busy') t.equal(decision.retryMilliseconds, 30)
  })
}
