/** A spoilt manifest must not let an engine load weights that are no complete copy of the version, whoever sent it. */
import { Agent, createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type Test } from 'tap'
import { PlatformOrigin } from '../platform/engine.js'
import { emptyBitmap, formatBitmap } from '../src/core/weights/bitmap.js'
import { DigestDoubts, originSource } from '../src/core/weights/digest-doubt.js'
import { VersionChunks } from '../src/roles/weights/chunk-store.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { Staging } from '../src/roles/weights/staging.js'
import { VersionCache } from '../src/roles/weights/version-cache.js'
import { listenOn } from '../src/transports/http-listen.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { digestBytes } from '../src/utils/digest.js'
import { freshIp, internalPort } from './fakes/entry-group.js'

const [model, version, chunkCount] = ['weights-a', 2, 4] as const
const positions = Array.from({ length: chunkCount }, (_, position) => position)
const chunkOf = (position: number): Buffer => Buffer.alloc(64, position + 1)
const digests = positions.map(position => digestBytes(chunkOf(position)))

/** Holds the chunks of the version before, as after a rollout. */
class StagedEngine extends EnginePort {
  async report (): Promise<never> { throw new Error('not used') }
  async staged (): Promise<readonly number[]> { return positions }
  async stagedChunk (): Promise<Buffer> { return Buffer.alloc(64, 99) }
  async stage (): Promise<void> {}
  async load (): Promise<OrderResult> { return 'refused' }
}

/** Answers the first request for a manifest with `first`, and later ones as well if that is the only manifest there is. */
class SpoilingOrigin extends OriginPort {
  asked = 0

  constructor (private readonly first: unknown, private readonly hasChunks: boolean) {
    super()
  }

  async digests (): Promise<readonly string[]> {
    this.asked += 1
    return this.asked === 1 ? this.first as readonly string[] : digests
  }

  async chunk (_address: string, _model: string, _version: number, position: number): Promise<Buffer> {
    if (!this.hasChunks) throw new Error('the origin is down')
    return chunkOf(position)
  }
}

const spoilt: readonly { readonly name: string, readonly list: unknown }[] = [
  { name: 'lists no chunk', list: [] },
  { name: 'lists too few chunks', list: digests.slice(1) },
  { name: 'lists too many chunks', list: [...digests, digests[0]] },
  { name: 'has a number in place of a digest', list: [...digests.slice(1), 7] },
  { name: 'has a digest that is none', list: [...digests.slice(1), 'x'.repeat(64)] },
  { name: 'is no list', list: { digests } }
]

/** Cache that is asked for the version until a complete copy is there, or for 1.5 s; whether one was there that is not whole. */
async function fetchAll (t: Test, origin: OriginPort, peers: PeerTable, announce = (): void => {}): Promise<{ readonly cache: VersionCache, readonly hadIncomplete: boolean }> {
  const httpAgent = new Agent({ keepAlive: true, maxSockets: 2 })
  const cache = new VersionCache({
    ip: '127.0.0.1',
    internalPort,
    engine: new StagedEngine(),
    origin,
    peers,
    httpAgent,
    originFacts: () => ({ address: '127.0.0.1:1', bytesPerSecond: 1_000_000 }),
    chunkCount: () => chunkCount,
    chunkBytes: () => 64,
    onChunksChanged: () => {},
    onOriginChunk: () => {},
    onOtherCopy: () => {}
  })
  t.teardown(() => {
    cache.stop()
    httpAgent.destroy()
  })
  const deadline = monotonicNow() + 1500
  let hadIncomplete = false
  while (cache.newestComplete(model) === undefined && monotonicNow() < deadline) {
    announce()
    cache.fetchVersion(model, version, monotonicNow())
    await sleepUntil(monotonicNow() + 20)
    const complete = cache.newestComplete(model)
    hadIncomplete ||= complete !== undefined && positions.some(position => !complete.get(position)?.equals(chunkOf(position)))
  }
  return { cache, hadIncomplete }
}

for (const { name, list } of spoilt) {
  test(`manifest: one of the origin that ${name} is fetched again`, async t => {
    const origin = new SpoilingOrigin(list, true)
    const { cache, hadIncomplete } = await fetchAll(t, origin, new PeerTable('127.0.0.1', 'east'))
    t.equal(hadIncomplete, false, 'no incomplete copy counts as complete')
    t.same(cache.newestComplete(model)?.digests, digests)
    t.equal(origin.asked, 2)
  })

  test(`manifest: one of another agent that ${name} is fetched from the origin`, async t => {
    const peers = new PeerTable('127.0.0.1', 'east')
    const ip = freshIp()
    const server = createServer((_incoming, response) => { response.end(JSON.stringify(list)) })
    await listenOn(server, `${ip}:${internalPort}`)
    t.teardown(() => {
      server.close()
      server.closeAllConnections()
    })
    peers.addPeers([['east', ip]])
    const announce = (): void => { peers.receiveHoldings({ kind: 'holdings', dataCentre: 'east', model, version, held: formatBitmap(emptyBitmap(chunkCount)), heldInDataCentre: '', served: 1, isSwapping: false }, ip) }
    const { cache, hadIncomplete } = await fetchAll(t, new SpoilingOrigin(digests, true), peers, announce)
    t.equal(hadIncomplete, false, 'no incomplete copy counts as complete')
    t.same(cache.newestComplete(model)?.digests, digests)
  })
}

/** A list with one wrong digit in a digest, as a wrong byte mostly leaves it. */
const withWrongDigit = digests.map((digest, position) => position === 2 ? `${digest[0] === '0' ? '1' : '0'}${digest.slice(1)}` : digest)

for (const source of ['the origin', 'another agent'] as const) {
  test(`manifest: one of ${source} with a wrong digit in a digest is fetched again`, async t => {
    const peers = new PeerTable('127.0.0.1', 'east')
    const ip = freshIp()
    const server = createServer((incoming, response) => { incoming.url?.startsWith('/manifest') === true ? response.end(JSON.stringify(withWrongDigit)) : response.writeHead(404).end() })
    await listenOn(server, `${ip}:${internalPort}`)
    t.teardown(() => {
      server.close()
      server.closeAllConnections()
    })
    const isAgent = source === 'another agent'
    if (isAgent) peers.addPeers([['east', ip]])
    const announce = (): void => { if (isAgent) peers.receiveHoldings({ kind: 'holdings', dataCentre: 'east', model, version, held: formatBitmap(emptyBitmap(chunkCount)), heldInDataCentre: '', served: 1, isSwapping: false }, ip) }
    const { cache, hadIncomplete } = await fetchAll(t, new SpoilingOrigin(isAgent ? digests : withWrongDigit, true), peers, announce)
    t.equal(hadIncomplete, false, 'no incomplete copy counts as complete')
    t.same(cache.newestComplete(model)?.digests, digests, 'all chunks are held under the digests of the version')
  })
}

test('manifest: a chunk that is spoilt in another way each time does not put its digest in doubt', async t => {
  const doubts = new DigestDoubts()
  const spoilt = ['a', 'b', 'a', 'c'].map((digest, index) => doubts.recordMismatch(0, digest, Buffer.from([index]), originSource))
  t.same(spoilt, [false, false, false, false])
  t.same(doubts.confirmedBy(['a'], originSource), [])
  t.equal(doubts.recordMismatch(0, 'c', Buffer.from([4]), originSource), true)
  t.same(doubts.confirmedBy(['b'], originSource), [], 'only another list that has this digest confirms it')
  t.equal(doubts.confirmedBy(['c'], originSource).length, 1)
})

const manifest = { 'model-id': model, version, 'chunk-bytes': 64, digests }
const bodies: readonly { readonly name: string, readonly body: string }[] = [
  { name: 'with a wrong byte in the name of the list', body: JSON.stringify(manifest).replace('digests', 'digusts') },
  { name: 'of another version', body: JSON.stringify({ ...manifest, version: 1 }) },
  { name: 'of another model', body: JSON.stringify({ ...manifest, 'model-id': 'weights-b' }) },
  { name: 'that is no JSON', body: JSON.stringify(manifest).slice(1) }
]

for (const { name, body } of bodies) {
  test(`manifest: an answer of the origin ${name} is refused`, async t => {
    const server = createServer((_incoming, response) => { response.end(body) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    t.teardown(() => {
      server.close()
      server.closeAllConnections()
    })
    await t.rejects(new PlatformOrigin().digests(`127.0.0.1:${(server.address() as AddressInfo).port}`, model, version), /the origin answered/)
  })
}

test('manifest: a check of what is staged does not end while a chunk is neither staged nor held', async t => {
  const chunks = new VersionChunks(model, version, digests)
  for (const position of positions.slice(1)) chunks.put(position, chunkOf(position))
  const staging = new Staging(new StagedEngine())
  await staging.add(chunks)
  await t.rejects(staging.verify(chunks), /chunk 0 of version 2 is not held/)
})
