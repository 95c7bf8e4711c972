/** Answers that do not end, in a head or a body: each reader gives up within its limits of bytes and time, and closes the connection. */
import { Agent } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { gzipSync } from 'node:zlib'
import { test } from 'tap'
import { PlatformEngine, PlatformOrigin } from '../platform/engine.js'
import { PlatformRequests } from '../platform/requests.js'
import { PlatformStore } from '../platform/store.js'
import { fetchRecords } from '../src/nodes/fed-record-log.js'
import { downloadChunk } from '../src/roles/agent/exchange/chunk-download.js'
import { CallInProgress } from '../src/roles/gateway/upstream-call.js'
import { UpstreamConnections } from '../src/roles/gateway/upstream-connections.js'
import { callHttp, deadlinesByProgress, maximumAnswerBytes } from '../src/transports/http-call.js'
import { readAll, requestJson, sendRequest } from '../src/transports/http-client.js'
import { monotonicNow } from '../src/utils/clock.js'
import { LinkLimiter } from '../src/utils/link-limiter.js'
import { answerCompletely, Fleet } from './fakes/plain-fleet.js'
import { startFlood, type Flood } from './fakes/flood.js'
import { at } from './fakes/positions.js'
import type { EventSink } from '../src/roles/gateway/event-sink.js'

const mebibyte = 1 << 20
/** What sockets, the kernel and the allocator hold besides, bytes. */
const besidesBytes = 24 * mebibyte
/** Time that the slowest reader may take: its deadline and the check of the connection. */
const milliseconds = 4000

const filler = Buffer.alloc(65_536, 'a')
const chunk = Buffer.concat([Buffer.from(`${filler.length.toString(16)}\r\n`), filler, Buffer.from('\r\n')])
const signed = 'X-Server-Stamp: s\r\nX-Attempt-Id: id-1\r\n'
const chunked = (status: string, headers = ''): string => `HTTP/1.1 ${status}\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`
const eventChunk = (text: string): Buffer => Buffer.from(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`)

/** A small body that expands to four times the limit of records. */
const expanding = gzipSync(Buffer.alloc(4 * maximumAnswerBytes.records))

const floods = {
  body: (status: string, headers = ''): Flood => ({ prefix: chunked(status, headers), part: chunk }),
  bodyUntilClose: { prefix: `HTTP/1.1 200 OK\r\n${signed}\r\n`, part: filler },
  headLines: { prefix: 'HTTP/1.1 200 OK\r\n', part: Buffer.from('X-Filler: aaaaaaaaaaaaaaaa\r\n'.repeat(100)) },
  headLine: { prefix: 'HTTP/1.1 200 OK\r\nX-Filler: ', part: filler },
  interim: { prefix: '', part: Buffer.from('HTTP/1.1 103 Early Hints\r\nX-Filler: a\r\n\r\n'.repeat(50)) },
  chunkExtension: { prefix: `${chunked('200 OK', signed)}5;a=`, part: filler },
  trailers: { prefix: `${chunked('200 OK', signed)}0\r\n`, part: Buffer.from('X-Filler: aaaaaaaaaaaaaaaa\r\n'.repeat(100)) },
  noHttp: { prefix: '', part: filler },
  event: { prefix: chunked('200 OK', signed), part: chunk },
  events: { prefix: chunked('200 OK', signed), part: eventChunk(`id: 1\ndata: ${'a'.repeat(500)}\n\n`.repeat(40)) },
  shortLines: { prefix: chunked('200 OK', signed), part: eventChunk('data: a\n'.repeat(4000)) },
  gzip: { prefix: Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Encoding: gzip\r\nContent-Length: ${expanding.length}\r\n\r\n`), expanding]), part: undefined }
} as const

const callOf = (address: string, maximumBytes: number): Promise<unknown> => callHttp({ address, method: 'GET', path: '/', maximumBytes, ...deadlinesByProgress(monotonicNow() + 1000), agent: new Agent() })
const store = (address: string): PlatformStore => new PlatformStore(address)
const engine = (address: string): PlatformEngine => new PlatformEngine(address)
const json = (address: string): Promise<unknown> => requestJson({ url: `http://${address}/`, method: 'GET', deadline: Date.now() + 2000, agent: new Agent() })

/** Calls an upstream; rejects with the result of a call that gave no answer, and resolves with one that did. */
async function callUpstream (address: string, isStream: boolean, sink: EventSink = { begin: () => {}, event: () => {}, waitingBytes: 0 }): Promise<unknown> {
  const call = new CallInProgress({
    address,
    method: 'GET',
    target: '/',
    headers: {},
    body: Buffer.alloc(0),
    agent: new UpstreamConnections().agentsFor('i-1', 0, 1).persistent,
    resumedAfter: undefined,
    requestId: 'id-1',
    connectBy: monotonicNow() + 500,
    isWithdrawn: () => false,
    firstResponseBy: monotonicNow() + 1000,
    inactivityTimeoutMilliseconds: 1000,
    finishBy: monotonicNow() + 2000,
    headReceived: () => {},
    bytesReceived: () => {},
    silent: () => {},
    lostAfterError: () => {},
    started: () => {}
  }, new PlatformRequests(), isStream ? sink : undefined)
  const result = await call.result
  if (result.kind === 'answer' || result.kind === 'stream-ended') return result
  throw new Error(`${result.kind}: ${result.reason}`)
}

async function download (address: string): Promise<unknown> {
  const result = await downloadChunk({ url: `http://${address}/`, digest: '', maximumBytes: mebibyte, headers: {}, stallTimeoutMilliseconds: 1000, deadline: Date.now() + 2000, limiter: new LinkLimiter(1 << 30), signal: new AbortController().signal })
  throw new Error(`${result.type}`)
}

interface Case {
  readonly name: string
  readonly flood: Flood
  /** Largest number of bytes that the reader accepts. */
  readonly limit: number
  readonly read: (address: string) => Promise<unknown>
  /** How the read fails. */
  readonly failure: RegExp
}

const cases: readonly Case[] = [
  { name: 'call: a chunked body', flood: floods.body('200 OK'), limit: mebibyte, read: address => callOf(address, mebibyte), failure: /exceeds 1048576 bytes/ },
  { name: 'call: a body until the connection closes', flood: floods.bodyUntilClose, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /exceeds 1048576 bytes/ },
  { name: 'call: the body of a failure', flood: floods.body('500 Failed'), limit: mebibyte, read: address => callOf(address, mebibyte), failure: /exceeds 1048576 bytes/ },
  { name: 'call: lines of a head', flood: floods.headLines, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /overflow|in time/i },
  { name: 'call: a line of a head', flood: floods.headLine, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /overflow|in time/i },
  { name: 'call: interim answers', flood: floods.interim, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /exceeds|in time/ },
  { name: 'call: a chunk extension', flood: floods.chunkExtension, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /overflow|in time|Parse/i },
  { name: 'call: trailers', flood: floods.trailers, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /overflow|in time|Parse/i },
  { name: 'call: bytes that are no HTTP', flood: floods.noHttp, limit: mebibyte, read: address => callOf(address, mebibyte), failure: /Parse/ },
  { name: 'store: newest records', flood: floods.body('200 OK'), limit: maximumAnswerBytes.records, read: address => store(address).newest('operators'), failure: /exceeds/ },
  { name: 'store: a write', flood: floods.body('200 OK'), limit: maximumAnswerBytes.control, read: address => store(address).write('entries', 'k', Buffer.from('v')), failure: /exceeds/ },
  { name: 'records of another node', flood: floods.body('200 OK'), limit: maximumAnswerBytes.records, read: address => fetchRecords(address, 'operators', at(0), new Agent(), 'peer', 'node-1'), failure: /exceeds/ },
  { name: 'records of another node that expand', flood: floods.gzip, limit: maximumAnswerBytes.records, read: address => fetchRecords(address, 'operators', at(0), new Agent(), 'peer', 'node-1'), failure: /larger than 33554432 bytes/ },
  { name: 'engine: a report', flood: floods.body('200 OK'), limit: maximumAnswerBytes.control, read: address => engine(address).report(), failure: /exceeds/ },
  { name: 'engine: staged chunks', flood: floods.body('200 OK'), limit: maximumAnswerBytes.control, read: address => engine(address).staged('m'), failure: /exceeds/ },
  { name: 'engine: a staged chunk', flood: floods.body('200 OK'), limit: maximumAnswerBytes.chunk, read: address => engine(address).stagedChunk('m', 0), failure: /exceeds/ },
  { name: 'engine: an upload', flood: floods.body('200 OK'), limit: maximumAnswerBytes.control, read: address => engine(address).stage('m', 0, Buffer.from('c')), failure: /exceeds/ },
  { name: 'engine: an order', flood: floods.body('202 Accepted'), limit: maximumAnswerBytes.control, read: address => engine(address).load('m', 1, 0, 'wait'), failure: /exceeds/ },
  { name: 'origin: digests', flood: floods.body('200 OK'), limit: maximumAnswerBytes.manifest, read: address => new PlatformOrigin().digests(address, 'm', 1), failure: /exceeds/ },
  { name: 'origin: a chunk', flood: floods.body('200 OK'), limit: maximumAnswerBytes.chunk, read: address => new PlatformOrigin().chunk(address, 'm', 1, 0), failure: /exceeds/ },
  { name: 'upstream: an answer', flood: floods.body('200 OK', signed), limit: 8 * mebibyte, read: address => callUpstream(address, false), failure: /lost: too-large/ },
  { name: 'upstream: an answer until the connection closes', flood: floods.bodyUntilClose, limit: 8 * mebibyte, read: address => callUpstream(address, false), failure: /lost: too-large/ },
  { name: 'upstream: a refusal', flood: floods.body('503 Busy', 'X-Not-Executed: 1\r\n'), limit: mebibyte, read: address => callUpstream(address, false), failure: /not-run: shed/ },
  { name: 'upstream: a misdirected request', flood: floods.body('421 Other'), limit: mebibyte, read: address => callUpstream(address, false), failure: /not-run: misdirected/ },
  { name: 'upstream: an answer without a signature', flood: floods.body('200 OK'), limit: mebibyte, read: address => callUpstream(address, false), failure: /lost: wrong-answer/ },
  { name: 'upstream: lines of a head', flood: floods.headLines, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost: (reset|silent)/ },
  { name: 'upstream: interim answers', flood: floods.interim, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost: (reset|silent|too-large)/ },
  { name: 'upstream: one event', flood: floods.event, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost: too-large/ },
  { name: 'upstream: one event of short lines', flood: floods.shortLines, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost: too-large/ },
  { name: 'upstream: events', flood: floods.events, limit: 8 * mebibyte, read: address => callUpstream(address, true), failure: /lost: too-large/ },
  { name: 'upstream: a chunk extension', flood: floods.chunkExtension, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost/ },
  { name: 'upstream: trailers', flood: floods.trailers, limit: mebibyte, read: address => callUpstream(address, true), failure: /lost/ },
  { name: 'JSON', flood: floods.body('200 OK'), limit: 32 * mebibyte, read: json, failure: /exceeds/ },
  { name: 'JSON of a failure', flood: floods.body('500 Failed'), limit: 32 * mebibyte, read: json, failure: /exceeds/ },
  { name: 'JSON: lines of a head', flood: floods.headLines, limit: mebibyte, read: json, failure: /overflow/i },
  { name: 'a body read to its end', flood: floods.body('200 OK'), limit: mebibyte, read: async address => await readAll(await sendRequest({ url: `http://${address}/`, method: 'GET', deadline: Date.now() + 1000, agent: new Agent() }), Date.now() + 2000, mebibyte), failure: /exceeds/ },
  { name: 'a chunk from a peer', flood: floods.body('200 OK'), limit: mebibyte, read: download, failure: /corrupt/ },
  { name: 'a refusal of a peer', flood: floods.body('503 Busy'), limit: mebibyte, read: download, failure: /busy/ }
]

for (const { name, flood, limit, read, failure } of cases) {
  test(`endless bytes: ${name}`, async t => {
    const server = await startFlood(flood)
    t.teardown(server.close)
    const before = process.memoryUsage().arrayBuffers
    let mostBytes = 0
    const sampler = setInterval(() => { mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers - before) }, 5)
    const startedAt = monotonicNow()
    await t.rejects(read(server.address), { message: failure })
    while (server.openConnections() > 0 && monotonicNow() - startedAt < milliseconds) await delay(20)
    clearInterval(sampler)
    t.ok(monotonicNow() - startedAt < milliseconds, 'the read ends and its connection is closed in time')
    t.ok(mostBytes <= 2 * limit + besidesBytes, `at most twice the limit of ${limit} bytes is held: ${mostBytes}`)
  })
}

test('endless bytes: the store, a read of records: the newest ones are read instead', async t => {
  const server = await startFlood(floods.body('200 OK'))
  t.teardown(server.close)
  t.same(await store(server.address).read('operators', at(0), monotonicNow(), 10), { kind: 'expired' })
})

const callers: readonly { readonly name: string, readonly head: string, readonly status: RegExp }[] = [
  { name: 'a body', head: 'POST /r/1 HTTP/1.1', status: /413/ },
  { name: 'a body without a route', head: 'POST /other HTTP/1.1', status: /404/ }
]

for (const { name, head, status } of callers) {
  test(`endless bytes: a caller, ${name}`, async t => {
    const fleet = new Fleet(answerCompletely)
    await fleet.start()
    const entry = await fleet.startEntry()
    await delay(1500)
    const [host = '', port = ''] = entry.callers.split(':')
    const socket = connect(Number(port), host)
    const startedAt = monotonicNow()
    let answer = ''
    const flood = (): void => { while (!socket.destroyed && socket.write(chunk)); }
    socket.on('data', part => { answer += String(part) })
    socket.on('drain', flood)
    socket.on('error', () => {})
    const closed = new Promise<void>(resolve => { socket.once('close', () => { resolve() }) })
    socket.write(`${head}\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n`)
    flood()
    await Promise.race([closed, delay(milliseconds)])
    t.match(answer, status)
    t.ok(monotonicNow() - startedAt < milliseconds, 'the connection is closed in time')
    socket.destroy()
    await fleet.stop()
  })
}

test('endless bytes: many upstreams at once, the answers together stay within a limit', async t => {
  const calls = 40
  const flood = await startFlood(floods.body('200 OK', signed))
  t.teardown(flood.close)
  const before = process.memoryUsage().arrayBuffers
  let mostBytes = 0
  const watch = setInterval(() => { mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers - before) }, 5)
  const results = await Promise.all(Array.from({ length: calls }, () => callUpstream(flood.address, false).then(() => 'answer', (error: unknown) => String(error))))
  clearInterval(watch)
  t.ok(results.every(result => /too-large|timeout/.test(result)), results.join())
  const limit = 32 * mebibyte
  t.ok(mostBytes <= 2 * limit + besidesBytes, `at most twice the limit of ${limit} bytes is held: ${mostBytes}`)
})

/** A caller that does not read, until its connection is closed. */
class UnreadAnswer implements EventSink {
  waitingBytes = 0

  constructor (private readonly waits: () => void) {}
  begin (): void {}

  event ({ bytes }: { readonly bytes: Buffer }): void {
    this.waitingBytes += bytes.length
    this.waits()
  }

  close (): void { this.waitingBytes = 0 }
}

test('endless bytes: streams of many upstreams to callers that do not read stay within a limit', async t => {
  const flood = await startFlood(floods.events)
  t.teardown(flood.close)
  let most = 0
  const sinks: readonly UnreadAnswer[] = Array.from({ length: 40 }, () => new UnreadAnswer(() => { most = Math.max(most, sinks.reduce((sum, { waitingBytes }) => sum + waitingBytes, 0)) }))
  await Promise.all(sinks.map(sink => callUpstream(flood.address, true, sink).catch(() => {}).finally(() => { sink.close() })))
  t.ok(most <= 32 * mebibyte + sinks.length * 2 * 65_536, `${most} bytes wait for callers`)
})
