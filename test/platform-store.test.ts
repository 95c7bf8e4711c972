/** Reads of the platform's store over HTTP, against a stand-in of it: what they cost, and how they fail. */
import { test } from 'tap'
import { topics } from '../platform/names.js'
import { PlatformStore } from '../platform/store.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { PlatformStoreStandIn } from './fakes/platform-store.js'

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
  const page = await new PlatformStore(server.address).read('operators', 0, monotonicNow())
  const bytes = headerBytes + 4 * frameBytes + 3 * 'config'.length + 'evacuate/a'.length + 602
  t.match(page, { kind: 'records', next: 4, cost: { bytes, records: 4, superseded: 2, firstByteMilliseconds: Number, milliseconds: Number } })
})

test('platform store: a read of the newest records reports the bytes of all pages', async t => {
  const server = await PlatformStoreStandIn.start()
  t.teardown(() => { server.close() })
  server.entriesPerPage = 1
  for (const key of ['config', 'config', 'evacuate/a']) server.append(topics.operators, key, Buffer.alloc(500))
  const newest = await new PlatformStore(server.address).newest('operators')
  t.match(newest, { next: 3, cost: { bytes: server.sentBytes.get(topics.operators), records: 2, superseded: 0 } })
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
  const failed = store.read('instances', 0, monotonicNow()).then(() => 'answered', (error: unknown) => String(error))
  await sleepUntil(monotonicNow() + 700)
  t.match(await store.read('operators', 0, monotonicNow()), { kind: 'records', next: 1 }, 'the answer that was half read is complete')
  t.match(await failed, 'in time')

  server.faults.clear()
  const before = server.connections
  await store.read('operators', 0, monotonicNow())
  t.equal(server.connections, before, 'the other stream keeps its connection')
  t.match(await store.read('instances', 0, monotonicNow()), { kind: 'records', next: 1 })
  t.equal(server.connections, before + 1, 'the next try after a time-out opens a new connection')
})
