/** Answers without a length to calls of agents, entries and the command line: one that is reset with its last bytes is a failed call. */
import { Agent } from 'node:http'
import { test } from 'tap'
import { PlatformEngine, PlatformOrigin } from '../platform/engine.js'
import { PlatformStore } from '../platform/store.js'
import { fetchRecords } from '../src/nodes/fed-record-log.js'
import { readInstances } from '../src/queries/nodes.js'
import { downloadChunk } from '../src/roles/agent/exchange/chunk-download.js'
import { callHttp } from '../src/transports/http-call.js'
import { readAll, requestChangedJson, requestJson, sendRequest } from '../src/transports/http-client.js'
import { monotonicNow } from '../src/utils/clock.js'
import { digestBytes } from '../src/utils/digest.js'
import { LinkLimiter } from '../src/utils/link-limiter.js'
import { at } from './fakes/positions.js'
import { RawServer } from './fakes/raw-fleet.js'

const calls = 10
const milliseconds = 2000
const json = { method: 'GET' } as const

interface Reader {
  readonly name: string
  readonly status?: string
  /** A body that the reader accepts. */
  readonly body: string
  /** Rejects without a usable answer. */
  readonly read: (address: string) => Promise<unknown>
}

const readers: readonly Reader[] = [
  { name: 'a call between processes', body: 'part', read: address => callHttp({ address, method: 'GET', path: '/', deadline: monotonicNow() + milliseconds, maximumBytes: 1000 }) },
  { name: 'a request of the daemon', body: 'part', read: readWhole },
  { name: 'JSON', body: '{}', read: address => requestJson({ ...json, url: `http://${address}/`, deadline: Date.now() + milliseconds }) },
  { name: 'JSON with an entity tag', body: '{}', read: address => requestChangedJson(`http://${address}/`, '', Date.now() + milliseconds) },
  { name: 'engine: a report', body: '{}', read: address => new PlatformEngine(address).report() },
  { name: 'engine: staged chunks', body: '{"held":[]}', read: address => new PlatformEngine(address).staged('m') },
  { name: 'engine: a staged chunk', body: 'part', read: address => new PlatformEngine(address).stagedChunk('m', 0) },
  { name: 'engine: an upload', body: 'part', read: address => new PlatformEngine(address).stage('m', 0, Buffer.from('c')) },
  { name: 'engine: an order', status: '202 Accepted', body: '{}', read: address => new PlatformEngine(address).load('m', 1, 0, 'wait') },
  { name: 'origin: digests', body: '{"version":1,"digests":[]}', read: address => new PlatformOrigin().digests(address, 'm', 1) },
  { name: 'origin: a chunk', body: 'part', read: address => new PlatformOrigin().chunk(address, 'm', 1, 0) },
  { name: 'store: newest records', body: '{"end-offset":0,"entries":[],"has-more":false}', read: address => new PlatformStore(address).newest('operators') },
  { name: 'store: records', body: '\0'.repeat(16), read: address => readRecords(address) },
  { name: 'store: a write', body: '{}', read: address => new PlatformStore(address).write('entries', 'k', Buffer.from('v')) },
  { name: 'records of another entry', body: '{"records":[],"next":1}', read: address => fetchRecords(address, 'operators', at(0), new Agent(), 'peer', 'node-1') },
  { name: 'command line: instances', body: '{"version":1,"instances":[]}', read: address => readInstances(`http://${address}`) }
]

const ends = [
  { end: 'reset with its last bytes', isReset: true, ended: 'rejected' },
  { end: 'closed properly', isReset: false, ended: 'fulfilled' }
] as const

for (const { name, status = '200 OK', body, read } of readers) {
  for (const { end, isReset, ended } of ends) {
    test(`reset call: ${name}, ${end}`, async t => {
      const server = answering(status, body, isReset)
      const address = await server.start()
      t.teardown(() => { server.stop() })
      const results: string[] = []
      for (let call = 0; call < calls; call += 1) results.push((await Promise.allSettled([read(address)]))[0].status)
      t.same(results, Array.from({ length: calls }, () => ended))
    })
  }
}

/** A source that sends wrong bytes counts as worse than one whose connection breaks. */
test('reset call: a chunk of another agent that is reset is no corrupt one', async t => {
  const server = answering('200 OK', 'part', true)
  const address = await server.start()
  t.teardown(() => { server.stop() })
  for (let call = 0; call < calls; call += 1) {
    const result = await downloadChunk({ url: `http://${address}/`, digest: digestBytes(Buffer.from('part of a chunk')), maximumBytes: 1000, headers: {}, stallTimeoutMilliseconds: 1000, deadline: Date.now() + milliseconds, limiter: new LinkLimiter(1 << 30), signal: new AbortController().signal })
    t.match(result, { type: 'failed' })
  }
})

function answering (status: string, body: string, isReset: boolean): RawServer {
  return new RawServer(socket => {
    socket.write(`HTTP/1.1 ${status}\r\n\r\n${body}`, () => {
      if (isReset) socket.resetAndDestroy()
      else socket.end()
    })
  })
}

async function readWhole (address: string): Promise<unknown> {
  const deadline = Date.now() + milliseconds
  return await readAll(await sendRequest({ url: `http://${address}/`, method: 'GET', deadline }), deadline, 1000)
}

/** Reads records from the start; the first read asks for all of them. */
async function readRecords (address: string): Promise<unknown> {
  const store = new PlatformStore(address)
  return await store.read('operators', at(0), monotonicNow(), 10)
}
