import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type Test } from 'tap'
import { formatBitmap, emptyBitmap, withBit } from '../src/core/weights/bitmap.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { writeLogs } from '../src/utils/log.js'
import type { Manifest } from '../src/types/platform.js'
import { makeWeights } from '../stand-in/weights.js'
import { Pool, waitFor, type PoolMember } from '../script/measure/pool.js'

writeLogs('silent')

const chunkBytes = 16 << 10
const chunkCount = 32
const copyBytes = chunkBytes * chunkCount
const first = makeWeights('model', null, 'first', copyBytes, chunkBytes)
const second = makeWeights('model', null, 'second', copyBytes, chunkBytes)
/** Shares every chunk of the first version but one. */
const adapted = shareChunks()

function shareChunks (): typeof first {
  const other = second.named.manifest.chunks[0] ?? ''
  const chunks = [...first.named.manifest.chunks.slice(1), other]
  const manifest = { ...first.named.manifest, adapter: 'knots', chunks }
  return { named: { digest: digestValue(manifest), manifest }, chunks: new Map([...first.chunks, [other, second.chunks.get(other) ?? Buffer.alloc(0)]]) }
}

interface Case {
  readonly name: string
  readonly instances?: number
  readonly dataCentres?: number
  readonly linkBytes?: number
  readonly originBytes?: number
  /** Before anything is wanted. */
  readonly before?: (pool: Pool) => Promise<void> | void
  /** While the first version is fetched; members that it returns need not become whole. */
  readonly during?: (pool: Pool) => Promise<readonly PoolMember[]>
  readonly after?: (pool: Pool, t: Test) => Promise<void> | void
}

/** Draws what a member serves to its engine and checks every byte. */
async function drawLikeEngine (member: PoolMember, digest: string): Promise<boolean> {
  const base = `http://${member.address}/local`
  const answer = await fetch(`${base}/weights/${digest}`)
  if (answer.status !== 200) return false
  const manifest = await answer.json() as Manifest
  const computed: string[] = []
  for (const chunk of manifest.chunks) {
    const bytes = await (await fetch(`${base}/chunks/${chunk}`)).arrayBuffer()
    computed.push(digestBytes(new Uint8Array(bytes)))
  }
  return digestValue({ ...manifest, chunks: computed }) === digest
}

async function halfWay (pool: Pool): Promise<void> {
  await waitFor(() => pool.members.some(member => member.exchange.progress.held >= chunkCount / 4))
}

interface FalsePeer {
  readonly server: Server
  /** Epoch milliseconds. */
  readonly startedAt: number
  readonly asked: () => number
}

/** Four members may each ask a busy peer twice before they hear that it is busy, and again every two seconds. */
function busyAsks (startedAt: number): number {
  return 4 * 2 * (1 + Math.ceil((Date.now() - startedAt) / 2000))
}

/** A peer that claims to hold everything and answers chunks as told. */
async function addFalsePeer (pool: Pool, answer: 'garbage' | 'silence' | 'busy'): Promise<FalsePeer> {
  const startedAt = Date.now()
  let asked = 0
  const everything = formatBitmap(Array.from({ length: chunkCount }, (_, position) => position).reduce(withBit, emptyBitmap(chunkCount)))
  const server = createServer((request, response) => {
    if (request.url?.endsWith('/held') === true) response.end(JSON.stringify({ instance: 'false-peer', version: 1, held: everything, seen: formatBitmap(emptyBitmap(chunkCount)), served: '', swap: 'idle', inFlight: 0, limit: 0, changeMilliseconds: 0 }))
    else if (request.url?.startsWith('/weights') === true) response.writeHead(404).end()
    else {
      asked += 1
      if (answer === 'garbage') response.end(Buffer.alloc(chunkBytes, 7))
      if (answer === 'busy') response.writeHead(503, { 'pollendyke-retry-milliseconds': '60000' }).end()
    }
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  pool.listed = [...pool.listed, { instance: 'false-peer', dataCentre: 'data-centre-0', address: `127.0.0.1:${port}` }]
  return { server, startedAt, asked: () => asked }
}

let falsePeer: FalsePeer | undefined
const endFalsePeer = (): void => {
  falsePeer?.server.closeAllConnections()
  falsePeer?.server.close()
}

const cases: readonly Case[] = [
  {
    name: 'without faults draws each chunk once per data centre',
    instances: 8,
    dataCentres: 2,
    after: (pool, t) => {
      t.equal(pool.origin.sentBytes, 2 * copyBytes)
      t.equal(pool.store.sentBytes, 0)
    }
  },
  {
    name: 'draws corrupt chunks again and never takes one',
    before: pool => { pool.origin.set({ corrupt: 0.2 }) },
    after: (pool, t) => { t.ok(pool.origin.sentBytes > copyBytes, 'some chunks were corrupt') }
  },
  { name: 'gives stalled draws up', before: pool => { pool.origin.set({ stall: 0.1 }) } },
  { name: 'draws cut answers again', before: pool => { pool.origin.set({ lost: 0.3 }) } },
  {
    name: 'falls back to the store while the origin is out',
    before: pool => { pool.origin.set({ outage: true }) },
    after: (pool, t) => {
      t.equal(pool.origin.sentBytes, 0)
      t.ok(pool.store.sentBytes >= copyBytes)
    }
  },
  {
    name: 'falls back to the store when the origin goes silent half-way',
    originBytes: copyBytes,
    during: async pool => {
      await halfWay(pool)
      pool.origin.set({ stall: 1 })
      return []
    },
    after: (pool, t) => { t.ok(pool.store.sentBytes > 0) }
  },
  {
    name: 'gives a fresh instance the copy of its peers while origin and store are out',
    after: async (pool, t) => {
      pool.origin.set({ outage: true })
      pool.store.set({ outage: true })
      const fresh = await pool.addMember(100)
      fresh.exchange.setTarget({ manifest: first.named.digest, finishBy: Date.now() })
      t.ok(await waitFor(() => fresh.exchange.isComplete))
    }
  },
  {
    name: 'uses another data centre as the last resort',
    instances: 3,
    dataCentres: 1,
    after: async (pool, t) => {
      pool.origin.set({ outage: true })
      pool.store.set({ outage: true })
      pool.listed = pool.listed.map(member => ({ ...member, dataCentre: 'data-centre-far' }))
      const fresh = await pool.addMember(100)
      fresh.exchange.setTarget({ manifest: first.named.digest, finishBy: Date.now() })
      t.ok(await waitFor(() => fresh.exchange.isComplete))
    }
  },
  {
    name: 'goes on when a member dies in the middle',
    originBytes: copyBytes,
    during: async pool => {
      await halfWay(pool)
      const [victim] = pool.members
      if (victim === undefined) return []
      pool.kill(victim)
      return [victim]
    },
    after: (pool, t) => { t.ok(pool.origin.sentBytes <= 1.5 * copyBytes, 'the origin sends few chunks twice') }
  },
  {
    name: 'goes on beside members that the list names but that are gone',
    during: async pool => {
      pool.listed = [...pool.listed, { instance: 'gone-1', dataCentre: 'data-centre-0', address: '127.0.0.1:9' }, { instance: 'gone-2', dataCentre: 'data-centre-0', address: '127.0.0.1:9' }]
      return []
    }
  },
  {
    name: 'serves a member that the list does not name yet',
    during: async pool => {
      const unlisted = await pool.addMember(100, false)
      unlisted.exchange.setTarget({ manifest: first.named.digest, finishBy: Date.now() })
      return []
    },
    after: (pool, t) => { t.ok(pool.origin.sentBytes <= 1.5 * copyBytes) }
  },
  {
    name: 'takes nothing from a peer that sends other bytes',
    before: async pool => { falsePeer = await addFalsePeer(pool, 'garbage') },
    after: (_pool, t) => {
      t.ok((falsePeer?.asked() ?? 0) > 0, 'the peer was asked')
      endFalsePeer()
    }
  },
  { name: 'leaves a silent peer', before: async pool => { falsePeer = await addFalsePeer(pool, 'silence') }, after: endFalsePeer },
  {
    name: 'finds other sources when a holder stays busy',
    before: async pool => { falsePeer = await addFalsePeer(pool, 'busy') },
    after: (_pool, t) => {
      t.ok((falsePeer?.asked() ?? 0) <= busyAsks(falsePeer?.startedAt ?? 0), 'a busy peer is left alone until it said')
      endFalsePeer()
    }
  },
  {
    name: 'spreads over slow links although every peer is often busy',
    instances: 6,
    linkBytes: copyBytes,
    originBytes: 2 * copyBytes,
    after: (pool, t) => { t.ok(pool.origin.sentBytes <= 1.2 * copyBytes) }
  }
]

for (const { name, instances = 4, dataCentres = 1, linkBytes = 0, originBytes = 0, before, during, after } of cases) {
  test(`the exchange ${name}`, async t => {
    const pool = await Pool.start({ instances, dataCentres, originBytes, linkBytes, seed: 11 })
    t.teardown(() => { pool.stop() })
    for (const source of [pool.origin, pool.store]) source.add(first)
    await before?.(pool)
    pool.want(first.named.digest)
    const excused = await during?.(pool) ?? []
    const rest = pool.members.filter(member => !excused.includes(member))
    t.ok(await waitFor(() => rest.every(member => member.exchange.isComplete)), 'every member becomes whole')
    for (const member of rest) t.ok(await drawLikeEngine(member, first.named.digest), 'the engine draws the exact weights')
    await after?.(pool, t)
  })
}

test('weights are never mixed when the version changes in the middle', async t => {
  const pool = await Pool.start({ instances: 4, dataCentres: 1, originBytes: copyBytes, linkBytes: 0, seed: 11 })
  t.teardown(() => { pool.stop() })
  for (const weights of [first, second]) pool.origin.add(weights)
  pool.want(first.named.digest)
  await halfWay(pool)
  pool.want(second.named.digest)
  t.notOk(pool.members.some(member => member.exchange.isComplete), 'chunks of the first version do not count for the second')
  t.ok(await waitFor(() => pool.members.every(member => member.exchange.isComplete)))
  for (const member of pool.members) {
    t.equal(member.exchange.progress.manifest, second.named.digest)
    t.ok(await drawLikeEngine(member, second.named.digest))
  }
})

test('the served weights stay while the next ones come, and go after the swap', async t => {
  const pool = await Pool.start({ instances: 3, dataCentres: 1, originBytes: 0, linkBytes: 0, seed: 11 })
  t.teardown(() => { pool.stop() })
  for (const weights of [first, second]) pool.origin.add(weights)
  pool.want(first.named.digest)
  await waitFor(() => pool.members.every(member => member.exchange.isComplete))
  for (const member of pool.members) member.served = first.named.digest
  pool.want(second.named.digest)
  await waitFor(() => pool.members.every(member => member.exchange.isComplete))
  const [member] = pool.members
  if (member === undefined) throw new Error('the pool is empty')
  t.ok(await drawLikeEngine(member, first.named.digest), 'a crashed engine can load the first version again')
  t.equal(member.exchange.usage.heldBytes, 2 * copyBytes)
  member.served = second.named.digest
  member.exchange.refreshServed()
  t.equal(member.exchange.usage.heldBytes, copyBytes)
  t.notOk(await drawLikeEngine(member, first.named.digest))
  t.ok(await drawLikeEngine(member, second.named.digest))
})

test('two manifests at once share the chunks that both name', async t => {
  const pool = await Pool.start({ instances: 4, dataCentres: 1, originBytes: 0, linkBytes: 0, seed: 11 })
  t.teardown(() => { pool.stop() })
  for (const weights of [first, adapted]) pool.origin.add(weights)
  pool.want(first.named.digest)
  await waitFor(() => pool.members.every(member => member.exchange.isComplete))
  const before = pool.origin.sentBytes
  for (const member of pool.members) member.served = first.named.digest
  pool.want(adapted.named.digest)
  t.ok(await waitFor(() => pool.members.every(member => member.exchange.isComplete)))
  t.equal(pool.origin.sentBytes - before, chunkBytes, 'only the chunk that differs is drawn')
  for (const member of pool.members) t.ok(await drawLikeEngine(member, adapted.named.digest))
})
