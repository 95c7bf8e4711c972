/** Reads of the platform's store over HTTP, against a stand-in of it: what they cost, and how they fail. */
import { test } from 'tap'
import { topics } from '../platform/names.js'
import { PlatformStore } from '../platform/store.js'
import { RecordFollower } from '../src/nodes/record-follower.js'
import { Metrics } from '../src/plugins/metrics.js'
import type { KeyedRecord } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { PlatformStoreStandIn, type StoreFault } from './fakes/platform-store.js'
import { at } from './fakes/positions.js'

const headerBytes = 16
/** Length and key length of a record. */
const frameBytes = 5

test('platform store: a read reports its bytes, its duration and the superseded records in it', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  server.append(topics.operators, 'config', Buffer.alloc(100))
  server.append(topics.operators, 'config', Buffer.alloc(200))
  server.append(topics.operators, 'config', Buffer.alloc(300))
  server.append(topics.operators, 'evacuate/a', Buffer.from('{}'))
  const page = await new PlatformStore(server.address).read('operators', at(0), monotonicNow(), 1024)
  const bytes = headerBytes + 4 * frameBytes + 3 * 'config'.length + 'evacuate/a'.length + 602
  t.match(page, { kind: 'records', next: at(4), cost: { bytes, records: 4, superseded: 2, firstByteMilliseconds: Number, milliseconds: Number } })
})

test('platform store: a read of the newest records reports the bytes of all pages', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  server.entriesPerPage = 1
  for (const key of ['config', 'config', 'evacuate/a']) server.append(topics.operators, key, Buffer.alloc(500))
  const newest = await new PlatformStore(server.address).newest('operators')
  t.match(newest, { next: at(3), cost: { bytes: server.sentBytes.get(topics.operators), records: 2, superseded: 0 } })
  t.equal(server.calls.length, 2)
})

test('platform store: a time-out of one stream closes neither a half-read answer nor the connection of the other', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  const store = new PlatformStore(server.address)
  server.append(topics.operators, 'config', Buffer.alloc(40_000))
  server.append(topics.instances, 'i-1', Buffer.from('{}'))
  server.faults.set(topics.instances, { kind: 'silent' })
  server.faults.set(topics.operators, { kind: 'slow', bytesPerSecond: 50_000 })
  const failed = store.read('instances', at(0), monotonicNow(), 1024).then(() => 'answered', (error: unknown) => String(error))
  await sleepUntil(monotonicNow() + 700)
  t.match(await store.read('operators', at(0), monotonicNow(), 1024), { kind: 'records', next: at(1) }, 'the answer that was half read is complete')
  t.match(await failed, 'in time')

  server.faults.clear()
  const before = server.connections
  await store.read('operators', at(0), monotonicNow(), 1024)
  t.equal(server.connections, before, 'the other stream keeps its connection')
  t.match(await store.read('instances', at(0), monotonicNow(), 1024), { kind: 'records', next: at(1) })
  t.equal(server.connections, before + 1, 'the next try after a time-out opens a new connection')
})

test('platform store: a node that stops ends its reads', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  const store = new PlatformStore(server.address)
  server.faults.set(topics.operators, { kind: 'silent' })
  const read = store.read('operators', at(0), monotonicNow() + 5000, 1024)
  setTimeout(() => { store.close() }, 100)
  await t.rejects(read, /hang up/)
})

test('platform store: a large record is read whole over a link on which it takes seconds', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  server.append(topics.operators, 'config', Buffer.alloc(250_000))
  server.faults.set(topics.operators, { kind: 'slow', bytesPerSecond: 120_000 })
  const store = new PlatformStore(server.address)
  t.match(await store.read('operators', at(0), monotonicNow(), 1024), { kind: 'records', next: at(1), records: [{ key: 'config' }] })
  t.match(await store.newest('operators'), { next: at(1), records: [{ key: 'config' }] })
})

const failures: readonly { readonly name: string, readonly fault: StoreFault, readonly expected: { readonly message: RegExp, readonly receivedBytes: number } }[] = [
  { name: 'no answer', fault: { kind: 'silent' }, expected: { message: /no answer from .* in time/, receivedBytes: 0 } },
  { name: 'an answer that stops', fault: { kind: 'stalled', afterBytes: 500 }, expected: { message: /stopped after 500 bytes/, receivedBytes: 500 } },
  { name: 'an answer that is cut', fault: { kind: 'cut', afterBytes: 500 }, expected: { message: /aborted/, receivedBytes: 500 } }
]

for (const { name, fault, expected } of failures) {
  test(`platform store: a read fails on ${name}, with the bytes that had arrived`, async t => {
    const server = await PlatformStoreStandIn.start()
    t.teardown(() => { server.close() })
    server.append(topics.operators, 'config', Buffer.alloc(1000))
    server.faults.set(topics.operators, fault)
    await t.rejects(new PlatformStore(server.address).read('operators', at(0), monotonicNow(), 1024), expected)
  })
}

/** A follower of the operators' records in the stand-in, and the records it reported, by key and offset. */
function follow (server: PlatformStoreStandIn): { readonly follower: RecordFollower, readonly received: KeyedRecord[], readonly metrics: Metrics } {
  const received: KeyedRecord[] = []
  const metrics = new Metrics()
  const listener = { record: (record: KeyedRecord) => { received.push(record) }, confirmed: () => {} }
  return { follower: new RecordFollower(new PlatformStore(server.address), 'operators', { pause: 150, wait: 2500 }, listener, metrics), received, metrics }
}

/** Resolves once the follower has read up to `next`; rejects after 20 s. */
async function untilRead (follower: RecordFollower, next: number): Promise<void> {
  const deadline = monotonicNow() + 20_000
  while (follower.state.next.offset < next) {
    if (monotonicNow() > deadline) throw new Error(`read up to ${follower.state.next.offset} of ${next}`)
    await sleepUntil(monotonicNow() + 10)
  }
}

test('record follower: superseded configurations are not transferred, and a key that was removed meanwhile is', async t => {
  const server = await PlatformStoreStandIn.start()
  const { follower, received, metrics } = follow(server)
  t.teardown(() => {
    follower.stop()
    server.close()
  })
  const size = 100_000
  server.append(topics.operators, 'evacuate/a', Buffer.from('{}'))
  server.append(topics.operators, 'config', Buffer.alloc(size))
  server.faults.set(topics.operators, { kind: 'slow', bytesPerSecond: 2_000_000 })
  follower.run().catch(error => { t.error(error) })
  await untilRead(follower, 2)
  const before = server.sentBytes.get(topics.operators) ?? 0
  for (let version = 1; version <= 25; version += 1) server.append(topics.operators, 'config', Buffer.alloc(size, version))
  server.append(topics.operators, 'evacuate/a', undefined)
  const last = server.append(topics.operators, 'config', Buffer.alloc(size, 26))
  await untilRead(follower, last + 1)
  const newest = new Map(follower.newest.map(record => [record.key, record]))
  t.equal(newest.get('config')?.offset, last)
  t.equal(newest.get('config')?.value?.[0], 26)
  t.equal(newest.get('evacuate/a')?.value, undefined)
  t.ok(received.some(({ key, value }) => key === 'evacuate/a' && value === undefined), 'the removal is reported')
  const sent = (server.sentBytes.get(topics.operators) ?? 0) - before
  t.ok(sent < 4 * size, `${sent} bytes for 26 versions of ${size}`)
  t.equal(metrics.valueOf('records_superseded_total', { stream: 'operators' }), 0)
})

test('record follower: small records behind a large configuration are read without it', async t => {
  const server = await PlatformStoreStandIn.start()
  const { follower, received } = follow(server)
  t.teardown(() => {
    follower.stop()
    server.close()
  })
  server.append(topics.operators, 'config', Buffer.alloc(100_000))
  follower.run().catch(error => { t.error(error) })
  await untilRead(follower, 1)
  const before = server.sentBytes.get(topics.operators) ?? 0
  const keys = Array.from({ length: 20 }, (_, index) => `evacuate/${index}`)
  for (const key of keys) server.append(topics.operators, key, Buffer.from('{}'))
  await untilRead(follower, 21)
  t.same(received.slice(1).map(({ key }) => key), keys)
  t.ok((server.sentBytes.get(topics.operators) ?? 0) - before < 2000)
  t.ok(server.calls.length <= 10, `${server.calls.length} calls`)
})

test('record follower: what changes between two pages of the newest records is read from the end of the first page', async t => {
  const server = await PlatformStoreStandIn.start()
  const { follower } = follow(server)
  t.teardown(() => {
    follower.stop()
    server.close()
  })
  server.entriesPerPage = 1
  for (const key of ['b', 'c', 'd']) server.append(topics.operators, key, Buffer.from('1'))
  server.beforePage = page => {
    if (page !== 1) return
    server.append(topics.operators, 'a', Buffer.from('2'))
    server.append(topics.operators, 'c', undefined)
    server.append(topics.operators, 'd', Buffer.from('2'))
  }
  follower.run().catch(error => { t.error(error) })
  await untilRead(follower, 6)
  const newest = new Map(follower.newest.map(({ key, value, offset }) => [key, [value?.toString(), offset]]))
  t.same(Object.fromEntries(newest), { a: ['2', 3], b: ['1', 0], c: [undefined, 4], d: ['2', 5] })
})
