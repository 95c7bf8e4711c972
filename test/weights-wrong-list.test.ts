/** Bytes of another version must not pass under a version's list of digests, whoever spreads another list or answers late. */
import { Agent, createServer } from 'node:http'
import { test, type Test } from 'tap'
import { emptyBitmap, formatBitmap, withBit } from '../src/core/weights/bitmap.js'
import { PeerTable } from '../src/roles/weights/peer-table.js'
import { VersionCache } from '../src/roles/weights/version-cache.js'
import { listenOn } from '../src/transports/http-listen.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { digestBytes } from '../src/utils/digest.js'
import { freshIp, internalPort } from './fakes/entry-group.js'

const [model, version, chunkCount] = ['weights-a', 3, 4] as const
const positions = Array.from({ length: chunkCount }, (_, position) => position)
const chunkOf = (position: number, ofVersion: number): Buffer => Buffer.alloc(64, 16 * ofVersion + position)
const digestsOf = (ofVersion: number): readonly string[] => positions.map(position => digestBytes(chunkOf(position, ofVersion)))
const allHeld = formatBitmap(positions.reduce(withBit, emptyBitmap(chunkCount)))

class EmptyEngine extends EnginePort {
  async report (): Promise<never> { throw new Error('not used') }
  async staged (): Promise<readonly number[]> { return [] }
  async stagedChunk (): Promise<undefined> { return undefined }
  async stage (): Promise<void> {}
  async load (): Promise<OrderResult> { return 'refused' }
}

/** Answers requests for the manifest with each of `lists` in turn, then with the last one; undefined for no answer. It sends the chunks only of the first positions. */
class ListingOrigin extends OriginPort {
  private asked = 0

  constructor (private readonly lists: ReadonlyArray<readonly string[] | undefined>, private readonly chunks: number) {
    super()
  }

  async digests (): Promise<readonly string[]> {
    const list = this.lists[Math.min(this.asked, this.lists.length - 1)]
    this.asked += 1
    if (list === undefined) throw new Error('the origin is down')
    return list
  }

  async chunk (_address: string, _model: string, ofVersion: number, position: number): Promise<Buffer> {
    if (position >= this.chunks) throw new Error('the origin is down')
    return chunkOf(position, ofVersion)
  }
}

/** Starts an agent that has chunks under the list of `listed`; returns its IP. */
async function startAgent (t: Test, listed: readonly string[], bytesOf: (position: number) => Buffer): Promise<string> {
  const ip = freshIp()
  const server = createServer((incoming, response) => {
    const [, kind, , , position] = (incoming.url ?? '').split('/')
    response.end(kind === 'manifest' ? JSON.stringify(listed) : bytesOf(Number(position)))
  })
  await listenOn(server, `${ip}:${internalPort}`)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return ip
}

function createCache (t: Test, origin: OriginPort, peers: PeerTable): VersionCache {
  const httpAgent = new Agent({ keepAlive: true, maxSockets: 2 })
  const cache = new VersionCache({
    ip: '127.0.0.1',
    internalPort,
    engine: new EmptyEngine(),
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
  return cache
}

const whole = digestsOf(version)
const withWrongDigit = whole.map((digest, position) => position === 2 ? `${digest.startsWith('0') ? '1' : '0'}${digest.slice(1)}` : digest)

interface Case {
  readonly name: string
  /** Lists that the origin sends, and the number of chunks that it has. */
  readonly lists: ReadonlyArray<readonly string[] | undefined>
  readonly chunks: number
  /** For each other agent, the version whose list and chunks it has as those of the wanted version. */
  readonly agents: readonly number[]
  /** Whether a copy is complete in the end. */
  readonly isComplete: boolean
}

const cases: readonly Case[] = [
  { name: 'an agent has the list of another version, and the origin has the right one', lists: [whole], chunks: 2, agents: [2], isComplete: false },
  { name: 'two agents have the list of another version, and the origin has the right one', lists: [whole], chunks: 2, agents: [2, 2], isComplete: false },
  { name: 'an agent has the list of another version, and the origin does not answer again', lists: [whole, undefined], chunks: 2, agents: [2], isComplete: false },
  { name: 'an agent has the list of another version, and another one the right one', lists: [whole], chunks: 2, agents: [2, 3], isComplete: true },
  { name: 'the first list has a wrong digit, and an agent has the list of another version', lists: [withWrongDigit, whole], chunks: 4, agents: [2], isComplete: true },
  { name: 'the first list has a wrong digit, the origin does not answer again, and two agents have the right one', lists: [withWrongDigit, undefined], chunks: 2, agents: [3, 3], isComplete: true }
]

for (const { name, lists, chunks, agents, isComplete } of cases) {
  test(`wrong list: ${name}`, async t => {
    const peers = new PeerTable('127.0.0.1', 'east')
    const cache = createCache(t, new ListingOrigin(lists, chunks), peers)
    while (cache.get(model, version) === undefined) {
      cache.fetchVersion(model, version, monotonicNow())
      await sleepUntil(monotonicNow() + 10)
    }
    const ips = await Promise.all(agents.map(async ofVersion => await startAgent(t, digestsOf(ofVersion), position => chunkOf(position, ofVersion))))
    peers.addPeers(ips.map(ip => ['east', ip]))
    const deadline = monotonicNow() + (isComplete ? 8000 : 4000)
    let wrong: readonly number[] = []
    while (cache.newestComplete(model) === undefined && wrong.length === 0 && monotonicNow() < deadline) {
      for (const ip of ips) peers.receiveHoldings({ kind: 'holdings', dataCentre: 'east', model, version, held: allHeld, heldInDataCentre: '', served: 1, isSwapping: false }, ip)
      cache.fetchVersion(model, version, monotonicNow())
      await sleepUntil(monotonicNow() + 20)
      const held = cache.get(model, version)
      wrong = positions.filter(position => held?.get(position)?.equals(chunkOf(position, version)) === false)
    }
    t.same(wrong, [], 'no chunk of another version is held')
    t.equal(cache.newestComplete(model) !== undefined, isComplete)
  })
}

/** Has no chunks until it is asked for the manifest again; answers that, 1.5 s later, with the list of another version. */
class LateOrigin extends OriginPort {
  private asked = 0

  async digests (): Promise<readonly string[]> {
    this.asked += 1
    if (this.asked === 1) return whole
    await sleepUntil(monotonicNow() + 1500)
    return digestsOf(2)
  }

  async chunk (_address: string, _model: string, ofVersion: number, position: number): Promise<Buffer> {
    if (this.asked === 1) throw new Error('the origin is down')
    return chunkOf(position, ofVersion)
  }
}

test('wrong list: one that confirms a doubt arrives after the chunk that ends the doubt', async t => {
  const peers = new PeerTable('127.0.0.1', 'east')
  const cache = createCache(t, new LateOrigin(), peers)
  while (cache.get(model, version) === undefined) {
    cache.fetchVersion(model, version, monotonicNow())
    await sleepUntil(monotonicNow() + 10)
  }
  const ip = await startAgent(t, digestsOf(2), position => chunkOf(position, 2))
  peers.addPeers([['east', ip]])
  const deadline = monotonicNow() + 5000
  while (monotonicNow() < deadline) {
    peers.receiveHoldings({ kind: 'holdings', dataCentre: 'east', model, version, held: allHeld, heldInDataCentre: '', served: 1, isSwapping: false }, ip)
    cache.fetchVersion(model, version, monotonicNow())
    await sleepUntil(monotonicNow() + 20)
  }
  const held = cache.newestComplete(model)
  t.ok(held, 'a copy is complete')
  t.same(positions.filter(position => held?.get(position)?.equals(chunkOf(position, version)) !== true), [], 'it holds the chunks of the version')
})

test('wrong list: an agent that answers late for one version is asked for the next one', async t => {
  const ip = freshIp()
  const server = createServer((incoming, response) => {
    const [, , , asked] = (incoming.url ?? '').split('/')
    setTimeout(() => { response.end(JSON.stringify(digestsOf(Number(asked)))) }, asked === '2' ? 350 : 100)
  })
  await listenOn(server, `${ip}:${internalPort}`)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const peers = new PeerTable('127.0.0.1', 'east')
  peers.addPeers([['east', ip]])
  const cache = createCache(t, new ListingOrigin([undefined], 0), peers)
  for (const wanted of [2, 3]) {
    peers.receiveHoldings({ kind: 'holdings', dataCentre: 'east', model, version: wanted, held: formatBitmap(emptyBitmap(chunkCount)), heldInDataCentre: '', served: 1, isSwapping: false }, ip)
    const deadline = monotonicNow() + 700
    while (cache.get(model, wanted) === undefined && monotonicNow() < deadline) {
      cache.fetchVersion(model, wanted, monotonicNow())
      await sleepUntil(monotonicNow() + 5)
    }
  }
  t.equal(cache.get(model, 2), undefined, 'the late answers do not count')
  t.same(cache.get(model, 3)?.digests, whole)
})
