/** Distribution of weights among agents: sources of chunks, uploads, choice of versions and the swap schedule. */
import { createServer, get, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import fc from 'fast-check'
import { test } from 'tap'
import { isAnnouncementDue, type Announceable, type LastAnnouncement } from '../src/core/weights/announcement-plan.js'
import { emptyBitmap, withBit, type Bitmap } from '../src/core/weights/bitmap.js'
import { drainModeOf, swapStartAt, type SwapScheduleView, type DrainMode } from '../src/core/weights/swap-schedule.js'
import { primaryFetcher, maximumFetches, nextDistributionFetch, fetchRanks, type DistributionFetch, type DistributionPeer, type DistributionView } from '../src/core/weights/distribution-plan.js'
import { versionToFetch, type VersionView } from '../src/core/weights/version-plan.js'
import { ChunkUploads } from '../src/roles/weights/chunk-uploads.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { naivePeerFetch } from './fakes/naive-peer-fetch.js'

const total = 8
const wantedAt = 10_000
const copyMilliseconds = 2600
const bits = (...positions: readonly number[]): Bitmap => positions.reduce(withBit, emptyBitmap(total))
const everyPosition = Array.from({ length: total }, (_, position) => position)
const peer = (ip: string, held: Bitmap, rest: Partial<DistributionPeer> = {}): DistributionPeer => ({ ip, isInSameDataCentre: true, held, inFlight: 0, retryAt: 0, ...rest })
const start: DistributionView = {
  now: wantedAt,
  total,
  held: bits(),
  ranks: { amongAll: everyPosition, amongDataCentre: everyPosition },
  originSince: wantedAt,
  originPlaces: everyPosition,
  peers: [],
  offered: bits(),
  offeredAt: new Map(everyPosition.map(position => [position, wantedAt])),
  inFlight: new Set(),
  originInFlight: 0,
  originRetryAt: 0,
  originCopyMilliseconds: copyMilliseconds
}

const fetches: readonly { readonly name: string, readonly view: Partial<DistributionView>, readonly expected: DistributionFetch | undefined }[] = [
  { name: 'fetches the chunk that it is the primary fetcher of from the origin', view: {}, expected: { position: 0, peer: undefined } },
  { name: 'fetches one chunk at a time from the origin', view: { originInFlight: 1 }, expected: undefined },
  { name: 'waits for the delay of its rank', view: { held: bits(0), now: wantedAt + copyMilliseconds * 0.35 - 1 }, expected: undefined },
  { name: 'takes over from the primary fetcher after a part of the copy time', view: { held: bits(0), now: wantedAt + copyMilliseconds * 0.35 }, expected: { position: 1, peer: undefined } },
  { name: 'fetches the chunk of its lowest rank when several are due', view: { now: wantedAt + copyMilliseconds * 9, ranks: { amongAll: [3, 2, 0, 1, 2, 2, 2, 2], amongDataCentre: everyPosition } }, expected: { position: 2, peer: undefined } },
  { name: 'does not fetch a late position before it is due at the pace of the origin', view: { ranks: { amongAll: [1, 1, 1, 1, 1, 1, 1, 0], amongDataCentre: everyPosition } }, expected: undefined },
  { name: 'fetches a late position once it is due at the pace of the origin', view: { now: wantedAt + copyMilliseconds / total, ranks: { amongAll: [1, 1, 1, 1, 1, 1, 1, 0], amongDataCentre: everyPosition } }, expected: { position: 7, peer: undefined } },
  { name: 'fetches a chunk from a peer in the same data centre', view: { held: bits(0), peers: [peer('near', bits(3))] }, expected: { position: 3, peer: 'near' } },
  { name: 'leaves a chunk of another data centre to the primary fetcher of its own', view: { held: bits(0), peers: [peer('far', bits(3), { isInSameDataCentre: false })] }, expected: undefined },
  { name: 'fetches a chunk from another data centre as its primary fetcher', view: { originInFlight: 1, peers: [peer('far', bits(0, 3), { isInSameDataCentre: false })] }, expected: { position: 0, peer: 'far' } },
  { name: 'fetches the rarest chunk first', view: { held: bits(0), peers: [peer('one', bits(3, 4)), peer('two', bits(3))] }, expected: { position: 4, peer: 'one' } },
  { name: 'uses the holder with the fewest fetches in progress', view: { held: bits(0), peers: [peer('one', bits(3), { inFlight: 1 }), peer('two', bits(3))] }, expected: { position: 3, peer: 'two' } },
  { name: 'requests nothing from a busy peer before its retry time', view: { held: bits(0), peers: [peer('one', bits(3), { retryAt: wantedAt + 1 })] }, expected: undefined },
  { name: 'stops at the maximum of concurrent fetches', view: { inFlight: new Set(everyPosition.slice(0, maximumFetches)) }, expected: undefined },
  {
    name: 'fetches from the origin without delay what only a failing peer holds',
    view: { peers: [peer('gone', bits(0), { retryAt: wantedAt + 1 })] },
    expected: { position: 0, peer: undefined }
  },
  { name: 'does not fetch from the origin what other agents are known to hold', view: { offered: bits(0) }, expected: undefined },
  {
    name: 'fetches from the origin what peers offer but do not deliver',
    view: { now: wantedAt + copyMilliseconds * 2.5, held: bits(1, 2, 3, 4, 5, 6, 7), peers: [peer('stuck', bits(0), { retryAt: Infinity })], offered: bits(0) },
    expected: { position: 0, peer: undefined }
  }
]

for (const { name, view, expected } of fetches) {
  test(`distribution: ${name}`, async t => { t.same(nextDistributionFetch({ ...start, ...view }), expected) })
}

test('distribution: the choice of a peer is that of the plain definition, for any holders, loads and retry times', async t => {
  const bitmap = fc.uint8Array({ minLength: 1, maxLength: 1 })
  const peers = fc.array(fc.record({ held: bitmap, isInSameDataCentre: fc.boolean(), inFlight: fc.nat(3), retryAt: fc.constantFrom(0, wantedAt, wantedAt + 4000, Infinity) }), { maxLength: 12 })
  const views = fc.record({
    peers: peers.map(list => list.map((rest, index): DistributionPeer => ({ ip: `10.0.0.${index}`, ...rest }))),
    held: bitmap,
    now: fc.integer({ min: wantedAt, max: wantedAt + 9000 }),
    offeredAt: fc.array(fc.tuple(fc.nat(total - 1), fc.integer({ min: wantedAt, max: wantedAt + 9000 }))).map(offers => new Map(offers)),
    inFlight: fc.uniqueArray(fc.nat(total - 1), { maxLength: maximumFetches - 1 }).map(positions => new Set(positions)),
    ranks: fc.record({ amongAll: fc.array(fc.nat(9), { minLength: total, maxLength: total }), amongDataCentre: fc.array(fc.nat(6), { minLength: total, maxLength: total }) })
  })
  fc.assert(fc.property(views, rest => {
    const view: DistributionView = { ...start, ...rest, originInFlight: 1 }
    t.same(nextDistributionFetch(view), naivePeerFetch(view))
  }), { seed: 17, numRuns: 2000 })
})

test('peer table: agents are ranked again only when one is added, moved or removed', async t => {
  const table = new PeerTable('10.0.0.0', 'a')
  const agents = Array.from({ length: 24 }, (_, index) => [index % 2 === 0 ? 'a' : 'b', `10.0.0.${index}`] as const)
  table.addPeers(agents)
  const targets = table.announcementTargets()
  const { membership } = table
  table.addPeers(agents.slice(3, 9))
  t.equal(table.announcementTargets(), targets, 'known agents change nothing')
  t.equal(table.membership, membership)
  table.addPeers([['a', '10.0.0.99']])
  t.ok(table.announcementTargets().some(({ ip }) => ip === '10.0.0.99'), 'a new agent is announced to')
  table.addPeers([['b', '10.0.0.99']])
  t.notOk(table.announcementTargets().some(({ ip, isSameDataCentre }) => ip === '10.0.0.99' && isSameDataCentre), 'a moved agent counts in its new data centre')
  t.equal(table.membership, membership + 2)
})

test('peer table: a bitmap of another length counts as empty', async t => {
  const table = new PeerTable('10.0.0.0', 'a')
  table.receiveHoldings({ kind: 'holdings', dataCentre: 'a', model: 'weights-a', version: 2, held: 'AQE=', heldInDataCentre: 'Aw==', served: 1, isSwapping: false }, '10.0.0.1')
  const [holder] = table.holders('weights-a', 2, total)
  t.same([holder?.held, holder?.heldInDataCentre], [bits(), bits(0, 1)])
})

const announced: LastAnnouncement = { at: 10_000, version: 2, served: 1, isSwapping: false }
const offer: Announceable = { offered: bits(0, 1), version: 2, served: 1, isSwapping: false }
const announcements: readonly { readonly name: string, readonly offer?: Partial<Announceable>, readonly held: Bitmap | undefined, readonly last: LastAnnouncement | undefined, readonly dueAfter: number }[] = [
  { name: 'an agent that was told nothing yet', held: bits(0, 1, 2), last: undefined, dueAfter: 0 },
  { name: 'an agent that lacks an offered chunk', held: bits(0, 2), last: announced, dueAfter: 100 },
  { name: 'an agent that has not announced the version', held: undefined, last: announced, dueAfter: 100 },
  { name: 'an agent that holds all that is offered', held: bits(0, 1, 2), last: announced, dueAfter: 1000 },
  { name: 'an agent that holds all, after a swap has begun here', offer: { isSwapping: true }, held: bits(0, 1, 2), last: announced, dueAfter: 100 },
  { name: 'an agent that holds all, once the version is served here', offer: { served: 2 }, held: bits(0, 1, 2), last: announced, dueAfter: 100 },
  { name: 'an agent that holds all, when another version is fetched here', offer: { version: 3 }, held: bits(0, 1, 2), last: announced, dueAfter: 100 },
  { name: 'an agent that lacks chunks, while nothing changes here', offer: { served: 2 }, held: bits(), last: { ...announced, served: 2 }, dueAfter: 1000 }
]

for (const { name, offer: change, held, last, dueAfter } of announcements) {
  test(`announcement: ${name} is due after ${dueAfter} ms`, async t => {
    const state = { ...offer, ...change }
    t.ok(isAnnouncementDue(state, held, last, announced.at + dueAfter))
    if (dueAfter > 0) t.notOk(isAnnouncementDue(state, held, last, announced.at + dueAfter - 1))
  })
}

test('distribution: every chunk has one primary fetcher, and all agents have equally many chunks', async t => {
  const agents = ['a', 'b', 'c', 'd']
  const primaryCounts = agents.map(agent => fetchRanks(total, agent, agents, agents).amongAll.filter(rank => rank === 0).length)
  t.same(primaryCounts, [2, 2, 2, 2])
})

test('distribution: among many agents each chunk has one primary fetcher, and reports of all agents count', async t => {
  const dataCentres = ['a', 'b', 'c']
  const agents = Array.from({ length: 41 }, (_, index) => [dataCentres[index % 3] ?? '', `10.0.0.${index}`] as const)
  const tables = agents.map(([dataCentre, ip]) => ({ ip, table: new PeerTable(ip, dataCentre) }))
  for (const { table } of tables) table.addPeers(agents)
  const ranks = tables.map(({ ip, table }) => {
    const everyone = table.all()
    return fetchRanks(96, ip, everyone.map(peer => peer.ip), everyone.filter(({ isSameDataCentre: isNear }) => isNear).map(peer => peer.ip))
  })
  for (let position = 0; position < 96; position += 1) {
    t.equal(ranks.filter(({ amongAll }) => amongAll[position] === 0).length, 1)
    t.equal(ranks.filter(({ amongDataCentre: amongNear }) => amongNear[position] === 0).length, dataCentres.length)
  }
  const table = tables[0]?.table
  for (const [dataCentre, ip] of agents.slice(1)) table?.receiveHoldings({ kind: 'holdings', dataCentre, model: 'weights-a', version: 2, held: 'AQ==', heldInDataCentre: 'Aw==', served: 1, isSwapping: false }, ip)
  t.equal(table?.holders('weights-a', 2, total).length, agents.length - 1)
  t.same(table?.heldInDataCentre('weights-a', 2, total, bits(2)), bits(0, 2))
  const fetchers = table?.otherDataCentres().map(members => primaryFetcher(7, members)) ?? []
  const primaries = tables.filter((_, index) => ranks[index]?.amongDataCentre[7] === 0).map(({ ip }): string => ip)
  t.same(fetchers.filter(fetcher => primaries.includes(fetcher ?? '')).length, 2)
})

const cutoff = 8000
const deliveryMilliseconds = 5800
const older = { version: 2, since: 0, deliveryMilliseconds }
const versions: readonly { readonly name: string, readonly view: Partial<VersionView>, readonly version: number | undefined }[] = [
  { name: 'nothing is pending', view: { pending: [] }, version: undefined },
  { name: 'the newest can be served before the cutoff of the older one', view: { pending: [older, { version: 3, since: 1000, deliveryMilliseconds }], now: 1000 }, version: 3 },
  { name: 'the older one first when the newest would only just meet the cutoff', view: { pending: [{ ...older, deliveryMilliseconds: 4000 }, { version: 3, since: 2000, deliveryMilliseconds }], now: 2000 }, version: 2 },
  { name: 'the newest when neither can meet the cutoff', view: { pending: [older, { version: 3, since: 50, deliveryMilliseconds: 4700 }], now: 2300 }, version: 3 },
  { name: 'the older one first when the newest would miss its cutoff', view: { pending: [{ ...older, deliveryMilliseconds: 2500 }, { version: 3, since: 4000, deliveryMilliseconds }], now: 4000 }, version: 2 },
  { name: 'a version past its cutoff is skipped', view: { pending: [older, { version: 3, since: 4000, deliveryMilliseconds }], now: cutoff }, version: 3 },
  { name: 'a fetch of the newest in progress is not abandoned for the older one', view: { pending: [older, { version: 3, since: 50, deliveryMilliseconds: 3700 }], now: 2300 }, version: 3 },
  { name: 'an engine without weights gets the newest', view: { pending: [older, { version: 3, since: 4000, deliveryMilliseconds }], now: 4000, isServing: false }, version: 3 }
]

for (const { name, view, version } of versions) {
  test(`version plan: ${name}`, async t => {
    t.equal(versionToFetch({ now: 0, pending: [], cutoffMilliseconds: cutoff, isServing: true, ...view })?.version, version)
  })
}

const serving = (ip: string, served: number, isSwapping = false) => ({ ip, served, isSwapping })
const swap: SwapScheduleView = { self: 'self', served: 1, wanted: 2, peers: [serving('one', 1), serving('two', 1), serving('three', 1)], completeAt: 5000, cutoffAt: cutoff }

test('swap schedule: engines start one after another and before the cutoff', async t => {
  const members = ['self', 'one', 'two', 'three']
  const starts = members.map(self => swapStartAt({ ...swap, self, peers: members.filter(ip => ip !== self).map(ip => serving(ip, 1)) }))
  t.equal(new Set(starts).size, members.length)
  t.ok(starts.every(at => at >= swap.completeAt - 700 && at < cutoff - 1000))
})

test('swap schedule: an engine without weights starts as soon as its copy is complete', async t => { t.equal(swapStartAt({ ...swap, served: 0 }), swap.completeAt) })

const drainModes: readonly { readonly name: string, readonly running: number, readonly now: number, readonly view?: Partial<SwapScheduleView>, readonly expected: DrainMode | undefined }[] = [
  { name: 'keeps draining while many requests run', running: 9, now: 5100, expected: undefined },
  { name: 'cuts few streams that another engine can resume', running: 2, now: 5100, expected: 'cut' },
  { name: 'waits for few streams that no engine can resume', running: 2, now: 7900, expected: 'wait' },
  { name: 'cuts at any time where another engine serves the wanted version', running: 2, now: 7900, view: { peers: [serving('one', 2)] }, expected: 'cut' },
  { name: 'cuts more streams after the drain timeout', running: 5, now: 6000, expected: 'cut' },
  { name: 'lets many streams finish after the drain timeout', running: 9, now: 6000, expected: 'wait' },
  { name: 'has nothing to cut', running: 0, now: 5000, expected: 'wait' }
]

for (const { name, running, now, view, expected } of drainModes) {
  test(`swap schedule: ${name}`, async t => { t.equal(drainModeOf({ ...swap, ...view }, running, 5000, now), expected) })
}

test('uploads: peers that disconnect while they wait free their slots', async t => {
  const uploads = new ChunkUploads(20_000)
  const chunk = Buffer.alloc(10_000)
  const server: Server = createServer((_incoming, response) => { uploads.send(chunk, response).catch(error => { t.error(error) }) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const requestOnce = (abortAfter?: number): Promise<number> => new Promise(resolve => {
    const outgoing = get({ host: '127.0.0.1', port }, answer => {
      answer.resume()
      answer.on('end', () => { resolve(answer.statusCode ?? 0) })
    })
    outgoing.on('error', () => { resolve(0) })
    if (abortAfter !== undefined) setTimeout(() => { outgoing.destroy() }, abortAfter)
  })
  await Promise.all([requestOnce(50), requestOnce(50), requestOnce(50)])
  await new Promise(resolve => { setTimeout(resolve, 2000) })
  t.equal(await requestOnce(), 200)
  server.close()
})
