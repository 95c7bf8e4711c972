/** Deadlines of HTTP calls: an answer that keeps arriving is received whole, one that stops or trickles is given up. */
import { Agent, createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { fetchRecords } from '../src/nodes/fed-record-log.js'
import { callHttp, HttpCallError, type HttpCall } from '../src/transports/http-call.js'
import { monotonicNow } from '../src/utils/clock.js'
import { at } from './fakes/positions.js'

const sliceMilliseconds = 50

/** Sends `body` in `slices` parts, one each 50 ms. */
function sendSlowly (response: ServerResponse, body: Buffer, slices: number): void {
  const size = Math.ceil(body.length / slices)
  let sent = 0
  response.writeHead(200, { 'content-length': body.length })
  const timer = setInterval(() => {
    response.write(body.subarray(sent, sent + size))
    sent += size
    if (sent < body.length) return
    clearInterval(timer)
    response.end()
  }, sliceMilliseconds)
  response.once('close', () => { clearInterval(timer) })
}

const record = { key: 'config', value: 'a'.repeat(30_000), offset: 3 }
const fed = JSON.stringify({ records: [record], next: 4 })

const answers: Readonly<Record<string, (response: ServerResponse) => void>> = {
  '/silent': () => {},
  '/steady': response => { sendSlowly(response, Buffer.alloc(40_000), 40) },
  '/stalled': response => {
    response.writeHead(200, { 'content-length': 40_000 })
    response.write(Buffer.alloc(1000))
  },
  '/trickle': response => { sendSlowly(response, Buffer.alloc(40_000), 40_000) },
  '/records': response => { sendSlowly(response, Buffer.from(fed), 40) }
}

async function startServer (): Promise<{ readonly address: string, close (): void }> {
  const server = createServer((incoming, response) => { answers[incoming.url?.split('?')[0] ?? '']?.(response) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const close = (): void => {
    server.closeAllConnections()
    server.close()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close }
}

const byProgress = (cap: number): Pick<HttpCall, 'deadline' | 'progress'> => ({ deadline: monotonicNow() + cap, progress: { headDeadline: monotonicNow() + 1000, inactivityMilliseconds: 1000 } })

interface Case {
  readonly name: string
  readonly path: string
  readonly deadlines: () => Pick<HttpCall, 'deadline' | 'progress'>
  /** Bytes of a complete answer, or the reason of the rejection. */
  readonly expected: number | RegExp
}

const cases: readonly Case[] = [
  { name: 'an answer that keeps arriving for longer than the time until its head', path: '/steady', deadlines: () => byProgress(20_000), expected: 40_000 },
  { name: 'no answer', path: '/silent', deadlines: () => byProgress(20_000), expected: /no answer from .* in time/ },
  { name: 'an answer that stops', path: '/stalled', deadlines: () => byProgress(20_000), expected: /stopped after 1000 bytes/ },
  { name: 'an answer that trickles', path: '/trickle', deadlines: () => byProgress(1500), expected: /not complete in time: \d+ bytes/ },
  { name: 'without progress, an answer that takes longer than the whole time', path: '/steady', deadlines: () => ({ deadline: monotonicNow() + 1000 }), expected: /not complete in time: \d+ bytes/ },
  { name: 'without progress, no answer', path: '/silent', deadlines: () => ({ deadline: monotonicNow() + 200 }), expected: /no answer from .* in time/ }
]

for (const { name, path, deadlines, expected } of cases) {
  test(`call by progress: ${name}`, async t => {
    const server = await startServer()
    t.teardown(() => { server.close() })
    const call = callHttp({ address: server.address, method: 'GET', path, maximumBytes: 40_000, ...deadlines() })
    if (typeof expected === 'number') t.equal((await call).body.length, expected)
    else {
      const error: unknown = await call.catch((reason: unknown) => reason)
      t.ok(error instanceof HttpCallError)
      t.match(String(error), expected)
    }
  })
}

test('records of another node are received over a slow link, for longer than the time until the first byte', async t => {
  const server = await startServer()
  t.teardown(() => { server.close() })
  const agent = new Agent()
  const fetched = await fetchRecords(server.address, 'operators', at(0), agent, 'peer', 'node-1')
  t.same(fetched.records, [{ ...record, era: 0, value: Buffer.from(record.value) }])
  t.match(fetched, { next: at(4), source: 'peer', cost: { records: 1, bytes: fed.length } })
})
