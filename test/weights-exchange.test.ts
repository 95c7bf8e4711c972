/** The weight exchange of a pool of instances, with faults of the origin, the store and peers. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type Test } from 'tap'
import { formatBitmap, emptyBitmap, withBit } from '../src/core/weights/bitmap.js'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import { writeLogs } from '../src/utils/log.js'
import type { Manifest } from '../src/types/platform.js'
import { generateWeights } from '../stand-in/weights.js'
import { Pool, waitFor, type PoolMember } from '../script/measure/pool.js'

writeLogs('silent')

const chunkBytes = 16 << 10
const chunkCount = 32
const copyBytes = chunkBytes * chunkCount
const first = generateWeights('model', null, 'first', copyBytes, chunkBytes)
const second = generateWeights('model', null, 'second', copyBytes, chunkBytes)
/** Manifest that shares every chunk but one with the first version. */
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
  /** Runs before the target is set. */
  readonly before?: (pool: Pool) => Promise<void> | void
  /** Runs while the first version is fetched; members that it returns need not complete it. */
  readonly during?: (pool: Pool) => Promise<readonly PoolMember[]>
  readonly after?: (pool: Pool, t: Test) => Promise<void> | void
}

/** Fetches the weights that a member serves to its engine, and verifies every chunk. */
async function fetchLikeEngine (member: PoolMember, digest: string): Promise<boolean> {
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
  readonly requestCount: () => number
}

/** Bound of the requests to a busy peer: four members may each send two before its first busy answer, and again every two seconds. */
function maximumRequestsWhileBusy (startedAt: number): number {
  return 4 * 2 * (1 + Math.ceil((Date.now() - startedAt) / 2000))
}

/** Adds a peer that reports to hold every chunk but answers chunk requests with other bytes, not at all, or as busy. */
async function addFalsePeer (pool: Pool, answer: 'garbage' | 'silence' | 'busy'): Promise<FalsePeer> {
  const startedAt = Date.now()
  let requestCount = 0
  const everything = formatBitmap(Array.from({ length: chunkCount }, (_, position) => position).reduce(withBit, emptyBitmap(chunkCount)))
  const server = createServer((request, response) => {
    if (request.url?.endsWith('/held') === true) response.end(JSON.stringify({ instance: 'false-peer', version: 1, held: everything, seen: formatBitmap(emptyBitmap(chunkCount)), served: '', swap: 'idle', inFlight: 0, limit: 0, changeMilliseconds: 0 }))
    else if (request.url?.startsWith('/weights') === true) response.writeHead(404).end()
    else {
      requestCount += 1
      if (answer === 'garbage') response.end(Buffer.alloc(chunkBytes, 7))
      if (answer === 'busy') response.writeHead(503, { 'pollendyke-retry-milliseconds': '60000' }).end()
    }
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  pool.listed = [...pool.listed, { instance: 'false-peer', dataCentre: 'data-centre-0', address: `127.0.0.1:${port}` }]
  return { server, startedAt, requestCount: () => requestCount }
}

let falsePeer: FalsePeer | undefined
const stopFalsePeer = (): void => {
  falsePeer?.server.closeAllConnections()
  falsePeer?.server.close()
}

const cases: readonly Case[] = [
  {
    name: 'fetches each chunk once per data centre without faults',
    instances: 8,
    dataCentres: 2,
    after: (pool, t) => {
      t.equal(pool.origin.sentBytes, 2 * copyBytes)
      t.equal(pool.store.sentBytes, 0)
    }
  },
  {
    name: 'fetches corrupt chunks again and never accepts one',
    before: pool => { pool.origin.setFaults({ corrupt: 0.2 }) },
    after: (pool, t) => { t.ok(pool.origin.sentBytes > copyBytes, 'some chunks were corrupt') }
  },
  { name: 'aborts stalled fetches', before: pool => { pool.origin.setFaults({ stall: 0.1 }) } },
  { name: 'fetches truncated chunks again', before: pool => { pool.origin.setFaults({ lost: 0.3 }) } },
  {
    name: 'falls back to the store while the origin is down',
    before: pool => { pool.origin.setFaults({ outage: true }) },
    after: (pool, t) => {
      t.equal(pool.origin.sentBytes, 0)
      t.ok(pool.store.sentBytes >= copyBytes)
    }
  },
  {
    name: 'falls back to the store when the origin stalls halfway',
    originBytes: copyBytes,
    during: async pool => {
      await halfWay(pool)
      pool.origin.setFaults({ stall: 1 })
      return []
    },
    after: (pool, t) => { t.ok(pool.store.sentBytes > 0) }
  },
  {
    name: 'provides a fresh instance from its peers while origin and store are down',
    after: async (pool, t) => {
      pool.origin.setFaults({ outage: true })
      pool.store.setFaults({ outage: true })
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
      pool.origin.setFaults({ outage: true })
      pool.store.setFaults({ outage: true })
      pool.listed = pool.listed.map(member => ({ ...member, dataCentre: 'data-centre-far' }))
      const fresh = await pool.addMember(100)
      fresh.exchange.setTarget({ manifest: first.named.digest, finishBy: Date.now() })
      t.ok(await waitFor(() => fresh.exchange.isComplete))
    }
  },
  {
    name: 'continues when a member crashes halfway',
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
    name: 'continues beside listed members that no longer exist',
    during: async pool => {
      pool.listed = [...pool.listed, { instance: 'gone-1', dataCentre: 'data-centre-0', address: '127.0.0.1:9' }, { instance: 'gone-2', dataCentre: 'data-centre-0', address: '127.0.0.1:9' }]
      return []
    }
  },
  {
    name: 'serves a member that is not listed yet',
    during: async pool => {
      const unlisted = await pool.addMember(100, false)
      unlisted.exchange.setTarget({ manifest: first.named.digest, finishBy: Date.now() })
      return []
    },
    after: (pool, t) => { t.ok(pool.origin.sentBytes <= 1.5 * copyBytes) }
  },
  {
    name: 'accepts nothing from a peer that sends other bytes',
    before: async pool => { falsePeer = await addFalsePeer(pool, 'garbage') },
    after: (_pool, t) => {
      t.ok((falsePeer?.requestCount() ?? 0) > 0, 'the peer received requests')
      stopFalsePeer()
    }
  },
  { name: 'avoids an unresponsive peer', before: async pool => { falsePeer = await addFalsePeer(pool, 'silence') }, after: stopFalsePeer },
  {
    name: 'finds other sources when a holder stays busy',
    before: async pool => { falsePeer = await addFalsePeer(pool, 'busy') },
    after: (_pool, t) => {
      t.ok((falsePeer?.requestCount() ?? 0) <= maximumRequestsWhileBusy(falsePeer?.startedAt ?? 0), 'nothing is requested from a busy peer before its retry time')
      stopFalsePeer()
    }
  },
  {
    name: 'distributes over slow links although every peer is often busy',
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
    t.ok(await waitFor(() => rest.every(member => member.exchange.isComplete)), 'every member completes the weights')
    for (const member of rest) t.ok(await fetchLikeEngine(member, first.named.digest), 'the engine gets the exact weights')
    await after?.(pool, t)
  })
}

test('weights are never mixed when the version changes halfway', async t => {
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
    t.ok(await fetchLikeEngine(member, second.named.digest))
  }
})

test('the served weights are retained while the next ones are fetched, and evicted after the swap', async t => {
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
  t.ok(await fetchLikeEngine(member, first.named.digest), 'a crashed engine can load the first version again')
  t.equal(member.exchange.usage.heldBytes, 2 * copyBytes)
  member.served = second.named.digest
  member.exchange.refreshServed()
  t.equal(member.exchange.usage.heldBytes, copyBytes)
  t.notOk(await fetchLikeEngine(member, first.named.digest))
  t.ok(await fetchLikeEngine(member, second.named.digest))
})

test('two manifests share the chunks that both contain', async t => {
  const pool = await Pool.start({ instances: 4, dataCentres: 1, originBytes: 0, linkBytes: 0, seed: 11 })
  t.teardown(() => { pool.stop() })
  for (const weights of [first, adapted]) pool.origin.add(weights)
  pool.want(first.named.digest)
  await waitFor(() => pool.members.every(member => member.exchange.isComplete))
  const before = pool.origin.sentBytes
  for (const member of pool.members) member.served = first.named.digest
  pool.want(adapted.named.digest)
  t.ok(await waitFor(() => pool.members.every(member => member.exchange.isComplete)))
  t.equal(pool.origin.sentBytes - before, chunkBytes, 'only the chunk that differs is fetched')
  for (const member of pool.members) t.ok(await fetchLikeEngine(member, adapted.named.digest))
})
