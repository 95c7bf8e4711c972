/** Calls to upstreams that answer badly: which results they give, and what may be said of them. */
import { createServer, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { PlatformRequests } from '../platform/requests.js'
import { CallInProgress, type CallResult, type EventSink } from '../src/roles/gateway/upstream-call.js'
import { UpstreamConnections } from '../src/roles/gateway/upstream-connections.js'
import { steadyNow } from '../src/utils/clock.js'

const requestId = 'id-1'
const signed = `X-Server-Stamp: s\r\nX-Attempt-Id: ${requestId}\r\n`
const event = (id: number): string => `id: ${id}\ndata: text\n\n`
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
const streamHead = `HTTP/1.1 200 OK\r\n${signed}Transfer-Encoding: chunked\r\n\r\n`
const end = '0\r\n\r\n'

interface Case {
  readonly name: string
  /** What the upstream does once the request is there. */
  readonly answer: (socket: Socket) => void
  readonly isStream?: boolean
  readonly isResumed?: boolean
  readonly result: object
  readonly events?: number
}

const cases: readonly Case[] = [
  { name: 'a whole answer', answer: socket => { socket.write(`HTTP/1.1 200 OK\r\n${signed}Content-Length: 2\r\n\r\nok`) }, result: { kind: 'answer', isFramed: true } },
  { name: 'a body cut short', answer: socket => { socket.end(`HTTP/1.1 200 OK\r\n${signed}Content-Length: 9\r\n\r\nok`) }, result: { kind: 'lost' } },
  { name: 'an answer without a length that ends in order', answer: socket => { socket.end(`HTTP/1.1 200 OK\r\n${signed}\r\nok`) }, result: { kind: 'answer', isFramed: false } },
  {
    name: 'an answer without a length that is reset',
    answer: socket => {
      socket.write(`HTTP/1.1 200 OK\r\n${signed}\r\nok`)
      setTimeout(() => { socket.resetAndDestroy() }, 30)
    },
    result: { kind: 'lost' }
  },
  { name: 'an answer to another request', answer: socket => { socket.write('HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok') }, result: { kind: 'lost', reason: 'wrong-answer' } },
  { name: 'a success without a signature', answer: socket => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') }, result: { kind: 'lost', reason: 'wrong-answer' } },
  { name: 'an encoded body', answer: socket => { socket.write(`HTTP/1.1 200 OK\r\n${signed}Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok`) }, result: { kind: 'lost', reason: 'wrong-answer' } },
  { name: 'bytes that are no answer', answer: socket => { socket.write('what?\r\n\r\n') }, result: { kind: 'lost' } },
  { name: 'a refusal that states that nothing was run', answer: socket => { socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n') }, result: { kind: 'not-run', reason: 'shed' } },
  { name: 'a refusal that states nothing', answer: socket => { socket.write(`HTTP/1.1 503 Busy\r\n${signed}Content-Length: 0\r\n\r\n`) }, result: { kind: 'answer' } },
  { name: 'another upstream at the address', answer: socket => { socket.write('HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n') }, result: { kind: 'not-run', reason: 'misdirected' } },
  { name: 'a reset before any answer', answer: socket => { socket.resetAndDestroy() }, result: { kind: 'lost', reason: 'reset' } },
  { name: 'silence', answer: () => {}, result: { kind: 'lost', reason: 'silent' } },
  { name: 'a whole stream', isStream: true, answer: socket => { socket.write(streamHead + chunk(event(1)) + chunk(event(2)) + end) }, result: { kind: 'stream-ended', isFramed: true }, events: 2 },
  { name: 'a stream that stops in the middle of an event', isStream: true, answer: socket => { socket.end(streamHead + chunk(event(1)) + chunk('id: 2\nda')) }, result: { kind: 'lost' }, events: 1 },
  { name: 'a stream whose end is in the middle of an event', isStream: true, answer: socket => { socket.write(streamHead + chunk(event(1)) + chunk('id: 2\nda') + end) }, result: { kind: 'lost', reason: 'incomplete' }, events: 1 },
  { name: 'a stream without events', isStream: true, answer: socket => { socket.write(streamHead + end) }, result: { kind: 'lost', reason: 'incomplete' }, events: 0 },
  { name: 'a stream of which nothing was left', isStream: true, isResumed: true, answer: socket => { socket.write(streamHead + end) }, result: { kind: 'stream-ended' }, events: 0 },
  { name: 'a stream without a length', isStream: true, answer: socket => { socket.end(`HTTP/1.1 200 OK\r\n${signed}\r\n${event(1)}`) }, result: { kind: 'stream-ended', isFramed: false }, events: 1 },
  { name: 'a stream that falls silent', isStream: true, answer: socket => { socket.write(streamHead + chunk(event(1))) }, result: { kind: 'lost', reason: 'silent' }, events: 1 }
]

for (const { name, answer, isStream = false, isResumed = false, result, events = 0 } of cases) {
  test(`upstream call: ${name}`, async t => {
    const { address, close } = await listen(answer)
    const seen = new SeenStream()
    const given = await callOnce(address, isStream, isResumed, seen)
    t.match(given, result)
    t.equal(seen.events, events)
    t.equal(seen.heads, given.kind === 'stream-ended' || events > 0 ? 1 : 0, 'the head goes before the end')
    close()
  })
}

test('upstream call: nobody listens', async t => {
  const { address, close } = await listen(() => {})
  close()
  t.match(await callOnce(address, false, false, new SeenStream()), { kind: 'not-run', reason: 'unreachable' })
})

test('upstream call: bytes after an answer close the kept connection', async t => {
  let connections = 0
  const { address, close } = await listen(socket => {
    connections += 1
    const whole = `HTTP/1.1 200 OK\r\n${signed}Content-Length: 2\r\n\r\nok`
    socket.write(whole)
    setTimeout(() => { socket.write(whole) }, 20)
  })
  const agents = new UpstreamConnections()
  t.match(await callOnce(address, false, false, new SeenStream(), agents), { kind: 'answer' })
  await new Promise(resolve => { setTimeout(resolve, 60) })
  t.match(await callOnce(address, false, false, new SeenStream(), agents), { kind: 'answer' })
  t.equal(connections, 2)
  close()
})

async function listen (answer: (socket: Socket) => void): Promise<{ readonly address: string, readonly close: () => void }> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => { sockets.delete(socket) })
    socket.once('data', () => { answer(socket) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const close = (): void => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close }
}

/** Counts what a caller would get of a stream. */
class SeenStream implements EventSink {
  heads = 0
  events = 0

  begin (): void { this.heads += 1 }
  event (): void { this.events += 1 }
}

function callOnce (address: string, isStream: boolean, isResumed: boolean, seen: SeenStream, connections = new UpstreamConnections()): Promise<CallResult> {
  const now = steadyNow()
  return new CallInProgress({
    address,
    method: 'POST',
    target: '/a/',
    headers: { host: 'one.example' },
    body: Buffer.from('body'),
    agent: connections.agentsFor('i-1', 0, 1).persistent,
    isResumed,
    requestId,
    connectBy: now + 300,
    firstResponseBy: now + 300,
    inactivityTimeoutMilliseconds: 300,
    finishBy: now + 2000,
    headReceived: () => {},
    bytesReceived: () => {},
    started: () => {}
  }, new PlatformRequests(), isStream ? seen : undefined).result
}
