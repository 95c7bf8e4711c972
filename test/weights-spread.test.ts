/** Spreading of weights among agents: which chunk comes from where, uploads, versions and turns of change. */
import { createServer, get, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { emptyBitmap, withBit, type Bitmap } from '../src/core/weights/bitmap.js'
import { drainModeOf, swapStartAt, type SwapScheduleView, type DrainMode } from '../src/core/weights/swap-schedule.js'
import { primaryFetcher, maximumFetches, nextDistributionFetch, fetchRanks, type DistributionFetch, type DistributionPeer, type DistributionView } from '../src/core/weights/distribution-plan.js'
import { versionToFetch, type VersionView } from '../src/core/weights/version-plan.js'
import { ChunkUploads } from '../src/roles/weights/chunk-uploads.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'

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
  wantedAt,
  peers: [],
  offered: bits(),
  inFlight: new Set(),
  originInFlight: 0,
  originRetryAt: 0,
  originCopyMilliseconds: copyMilliseconds
}

const draws: readonly { readonly name: string, readonly view: Partial<DistributionView>, readonly draw: DistributionFetch | undefined }[] = [
  { name: 'draws the chunk of its own rank from the origin', view: {}, draw: { position: 0, peer: undefined } },
  { name: 'draws no second chunk from the origin meanwhile', view: { originInFlight: 1 }, draw: undefined },
  { name: 'leaves other ranks their time', view: { held: bits(0), now: wantedAt + copyMilliseconds * 0.35 - 1 }, draw: undefined },
  { name: 'draws in place of the first rank after a part of the copy time', view: { held: bits(0), now: wantedAt + copyMilliseconds * 0.35 }, draw: { position: 1, peer: undefined } },
  { name: 'draws what it ranks first for, when several are due', view: { now: wantedAt + copyMilliseconds * 9, ranks: { amongAll: [3, 2, 0, 1, 2, 2, 2, 2], amongDataCentre: everyPosition } }, draw: { position: 2, peer: undefined } },
  { name: 'draws a late chunk at the pace of the origin', view: { ranks: { amongAll: [1, 1, 1, 1, 1, 1, 1, 0], amongDataCentre: everyPosition } }, draw: undefined },
  { name: 'draws a late chunk in its turn', view: { now: wantedAt + copyMilliseconds / total, ranks: { amongAll: [1, 1, 1, 1, 1, 1, 1, 0], amongDataCentre: everyPosition } }, draw: { position: 7, peer: undefined } },
  { name: 'takes a chunk from a peer nearby', view: { held: bits(0), peers: [peer('near', bits(3))] }, draw: { position: 3, peer: 'near' } },
  { name: 'leaves a chunk far away to the one that brings it here', view: { held: bits(0), peers: [peer('far', bits(3), { isInSameDataCentre: false })] }, draw: undefined },
  { name: 'brings a chunk from far away in its own rank', view: { originInFlight: 1, peers: [peer('far', bits(0, 3), { isInSameDataCentre: false })] }, draw: { position: 0, peer: 'far' } },
  { name: 'takes the rarest chunk first', view: { held: bits(0), peers: [peer('one', bits(3, 4)), peer('two', bits(3))] }, draw: { position: 4, peer: 'one' } },
  { name: 'asks the least busy holder', view: { held: bits(0), peers: [peer('one', bits(3), { inFlight: 1 }), peer('two', bits(3))] }, draw: { position: 3, peer: 'two' } },
  { name: 'leaves a busy peer alone until it said', view: { held: bits(0), peers: [peer('one', bits(3), { retryAt: wantedAt + 1 })] }, draw: undefined },
  { name: 'stops at the number of draws at once', view: { inFlight: new Set(everyPosition.slice(0, maximumFetches)) }, draw: undefined },
  {
    name: 'draws from the origin at once what only a failing peer holds',
    view: { peers: [peer('gone', bits(0), { retryAt: wantedAt + 1 })] },
    draw: { position: 0, peer: undefined }
  },
  { name: 'leaves the origin alone for what agents hold that it has not heard itself', view: { offered: bits(0) }, draw: undefined },
  {
    name: 'draws from the origin what peers offer and do not deliver',
    view: { now: wantedAt + copyMilliseconds * 2.5, held: bits(1, 2, 3, 4, 5, 6, 7), peers: [peer('stuck', bits(0), { retryAt: Infinity })], offered: bits(0) },
    draw: { position: 0, peer: undefined }
  }
]

for (const { name, view, draw } of draws) {
  test(`spread: ${name}`, async t => { t.same(nextDistributionFetch({ ...start, ...view }), draw) })
}

test('spread: every chunk has one first drawer, and all draw as many', async t => {
  const agents = ['a', 'b', 'c', 'd']
  const firsts = agents.map(agent => fetchRanks(total, agent, agents, agents).amongAll.filter(rank => rank === 0).length)
  t.same(firsts, [2, 2, 2, 2])
})

test('spread: among many agents each chunk has one first drawer, and what any agent tells counts', async t => {
  const dataCentres = ['a', 'b', 'c']
  const agents = Array.from({ length: 41 }, (_, index) => [dataCentres[index % 3] ?? '', `10.0.0.${index}`] as const)
  const tables = agents.map(([dataCentre, ip]) => ({ ip, table: new PeerTable(ip, dataCentre) }))
  for (const { table } of tables) table.tell(agents)
  const ranks = tables.map(({ ip, table }) => {
    const everyone = table.everyone()
    return fetchRanks(96, ip, everyone.map(peer => peer.ip), everyone.filter(({ isNear }) => isNear).map(peer => peer.ip))
  })
  for (let position = 0; position < 96; position += 1) {
    t.equal(ranks.filter(({ amongAll }) => amongAll[position] === 0).length, 1)
    t.equal(ranks.filter(({ amongDataCentre: amongNear }) => amongNear[position] === 0).length, dataCentres.length)
  }
  const table = tables[0]?.table
  for (const [dataCentre, ip] of agents.slice(1)) table?.hear({ kind: 'holdings', dataCentre, model: 'weights-a', version: 2, held: 'AQ==', nearby: 'Aw==', served: 1, isChanging: false }, ip)
  t.equal(table?.holders('weights-a', 2, total).length, agents.length - 1)
  t.equal(table?.nearbyText('weights-a', 2, total, bits(2)), 'BQ==')
  const drawers = table?.farGroups().map(members => primaryFetcher(7, members)) ?? []
  const rankedFirst = tables.filter((_, index) => ranks[index]?.amongDataCentre[7] === 0).map(({ ip }): string => ip)
  t.same(drawers.filter(drawer => rankedFirst.includes(drawer ?? '')).length, 2)
})

const bound = 8000
const bringMilliseconds = 5800
const older = { version: 2, since: 0, bringMilliseconds }
const versions: readonly { readonly name: string, readonly view: Partial<VersionView>, readonly version: number | undefined }[] = [
  { name: 'nothing is pending', view: { pending: [] }, version: undefined },
  { name: 'the newest comes in time for the older bound', view: { pending: [older, { version: 3, since: 1000, deliveryMilliseconds: bringMilliseconds }], now: 1000 }, version: 3 },
  { name: 'the older one first when the newest would come just in time', view: { pending: [{ ...older, deliveryMilliseconds: 4000 }, { version: 3, since: 2000, deliveryMilliseconds: bringMilliseconds }], now: 2000 }, version: 2 },
  { name: 'the newest when neither can come in time', view: { pending: [older, { version: 3, since: 50, deliveryMilliseconds: 4700 }], now: 2300 }, version: 3 },
  { name: 'the older one first when the newest comes after its bound', view: { pending: [{ ...older, deliveryMilliseconds: 2500 }, { version: 3, since: 4000, deliveryMilliseconds: bringMilliseconds }], now: 4000 }, version: 2 },
  { name: 'an overdue one is passed over', view: { pending: [older, { version: 3, since: 4000, deliveryMilliseconds: bringMilliseconds }], now: bound }, version: 3 },
  { name: 'a fetch of the newest that is under way is not given up for the older one', view: { pending: [older, { version: 3, since: 50, deliveryMilliseconds: 3700 }], now: 2300 }, version: 3 },
  { name: 'an engine without weights gets the newest', view: { pending: [older, { version: 3, since: 4000, deliveryMilliseconds: bringMilliseconds }], now: 4000, isServing: false }, version: 3 }
]

for (const { name, view, version } of versions) {
  test(`version plan: ${name}`, async t => {
    t.equal(versionToFetch({ now: 0, pending: [], cutoffMilliseconds: bound, isServing: true, ...view })?.version, version)
  })
}

const serving = (ip: string, served: number, isChanging = false) => ({ ip, served, isChanging })
const change: SwapScheduleView = { self: 'self', served: 1, wanted: 2, peers: [serving('one', 1), serving('two', 1), serving('three', 1)], completeAt: 5000, cutoffAt: bound }

test('change turn: engines start one after the other and before the bound', async t => {
  const members = ['self', 'one', 'two', 'three']
  const starts = members.map(self => swapStartAt({ ...change, self, peers: members.filter(ip => ip !== self).map(ip => serving(ip, 1)) }))
  t.equal(new Set(starts).size, members.length)
  t.ok(starts.every(at => at >= change.completeAt - 700 && at < bound - 1000))
})

test('change turn: an engine without weights starts at once', async t => { t.equal(swapStartAt({ ...change, served: 0 }), change.completeAt) })

const endings: readonly { readonly name: string, readonly running: number, readonly now: number, readonly view?: Partial<SwapScheduleView>, readonly ending: DrainMode | undefined }[] = [
  { name: 'waits while many run', running: 9, now: 5100, ending: undefined },
  { name: 'cuts few streams that another engine can go on with', running: 2, now: 5100, ending: 'cut' },
  { name: 'waits for few streams that no engine can go on with', running: 2, now: 7900, ending: 'wait' },
  { name: 'cuts at any time where another engine serves the wanted version', running: 2, now: 7900, view: { peers: [serving('one', 2)] }, ending: 'cut' },
  { name: 'cuts some after a while', running: 5, now: 6000, ending: 'cut' },
  { name: 'lets many run on after a while', running: 9, now: 6000, ending: 'wait' },
  { name: 'has nothing to cut', running: 0, now: 5000, ending: 'wait' }
]

for (const { name, running, now, view, ending } of endings) {
  test(`change turn: ${name}`, async t => { t.equal(drainModeOf({ ...change, ...view }, running, 5000, now), ending) })
}

test('uploads: callers that leave while they wait free their places', async t => {
  const uploads = new ChunkUploads(20_000)
  const chunk = Buffer.alloc(10_000)
  const server: Server = createServer((_incoming, response) => { uploads.send(chunk, response).catch(error => { t.error(error) }) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const askOnce = (leaveAt?: number): Promise<number> => new Promise(resolve => {
    const outgoing = get({ host: '127.0.0.1', port }, answer => {
      answer.resume()
      answer.on('end', () => { resolve(answer.statusCode ?? 0) })
    })
    outgoing.on('error', () => { resolve(0) })
    if (leaveAt !== undefined) setTimeout(() => { outgoing.destroy() }, leaveAt)
  })
  await Promise.all([askOnce(50), askOnce(50), askOnce(50)])
  await new Promise(resolve => { setTimeout(resolve, 2000) })
  t.equal(await askOnce(), 200)
  server.close()
})
