/** A call that gets its connection too late, as in an entry that was paused, is not sent: what was decided before is too old. */
import { createServer, type Socket, type AddressInfo } from 'node:net'
import { Agent, type ClientRequestArgs } from 'node:http'
import { test } from 'tap'
import { PlatformRequests } from '../platform/requests.js'
import { CallInProgress } from '../src/roles/gateway/upstream-call.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'

const requestId = 'id-1'

/** Agent whose process is paused for `pauseMilliseconds` while a connection opens: the connection is reported before any timer fires. */
class PausedAgent extends Agent {
  pauseMilliseconds = 0

  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Socket) => void): Socket {
    const create = Agent.prototype as unknown as { createConnection (options: ClientRequestArgs, callback?: unknown): Socket }
    const socket = create.createConnection.call(this, options, callback)
    socket.prependOnceListener('connect', () => { block(this.pauseMilliseconds) })
    return socket
  }
}

/** Keeps the event loop from running. */
function block (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

interface Case {
  readonly name: string
  readonly isKept: boolean
  /** Time for which the process is paused before there is a connection, milliseconds. */
  readonly pauseMilliseconds: number
  /** Time until a connection is needed, milliseconds. */
  readonly connectMilliseconds: number
  readonly isSent: boolean
}

const cases: readonly Case[] = [
  { name: 'on a new connection in time', isKept: false, pauseMilliseconds: 0, connectMilliseconds: 400, isSent: true },
  { name: 'on a new connection after a short pause', isKept: false, pauseMilliseconds: 100, connectMilliseconds: 400, isSent: true },
  { name: 'on a new connection after a pause that is longer than a connection may take', isKept: false, pauseMilliseconds: 600, connectMilliseconds: 400, isSent: false },
  { name: 'on a kept connection in time', isKept: true, pauseMilliseconds: 0, connectMilliseconds: 400, isSent: true },
  { name: 'on a kept connection after its deadline', isKept: true, pauseMilliseconds: 0, connectMilliseconds: -50, isSent: false },
  { name: 'on a new connection after its deadline', isKept: false, pauseMilliseconds: 0, connectMilliseconds: -50, isSent: false }
]

for (const { name, isKept, pauseMilliseconds, connectMilliseconds, isSent } of cases) {
  test(`late connection: a call ${name}`, async t => {
    let requests = 0
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => {
        requests += 1
        socket.write(`HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`)
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const agent = new PausedAgent({ keepAlive: true })
    t.teardown(() => {
      agent.destroy()
      server.close()
    })
    const call = (connectBy: number): CallInProgress => new CallInProgress({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: 'POST',
      target: '/a/',
      headers: { host: 'one.example' },
      body: Buffer.from('body'),
      agent,
      resumedAfter: undefined,
      requestId,
      connectBy,
      isWithdrawn: () => false,
      firstResponseBy: monotonicNow() + 2000,
      inactivityTimeoutMilliseconds: 1000,
      finishBy: monotonicNow() + 3000,
      headReceived: () => {},
      bytesReceived: () => {},
      silent: () => {},
      lostAfterError: () => {},
      started: () => {}
    }, new PlatformRequests(), undefined)
    if (isKept) {
      t.match(await call(monotonicNow() + 1000).result, { kind: 'answer' })
      await sleepUntil(monotonicNow() + 20)
    }
    agent.pauseMilliseconds = pauseMilliseconds
    const result = await call(monotonicNow() + connectMilliseconds).result
    await sleepUntil(monotonicNow() + 60)
    t.match(result, isSent ? { kind: 'answer' } : { kind: 'not-run', reason: 'withdrawn' })
    t.equal(requests, (isKept ? 1 : 0) + (isSent ? 1 : 0))
  })
}
