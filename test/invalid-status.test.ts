/**
 * Answers whose status no final answer has: 000, 1xx that cannot be final, 600 and above. Guards against callers that get such
 * an answer, and against an upstream that draws requests with them because each counts as a quick success.
 */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test } from 'tap'
import { callHttp } from '../src/transports/http-call.js'
import { sendRequest, TransportError } from '../src/transports/http-client.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, versionInForce } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentre = 'zone-a'
const upstreams = 3
const requests = 60
const intervalMilliseconds = 10
const workMilliseconds = 15
/** A whole answer, and a whole stream. */
const answerText = 'id: 1\ndata: done\n\n'

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** An upstream that answers each request with one status line. */
class StatusUpstream {
  readonly ran: string[] = []
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (private readonly status: string, private readonly isSigned: boolean, private readonly headers = '') {
    this.server = createServer(socket => { this.accept(socket) })
  }

  async start (): Promise<number> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return (this.server.address() as AddressInfo).port
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    socket.on('data', (part: Buffer) => {
      const id = /x-attempt-id: (\S+)/i.exec(part.toString())?.[1] ?? ''
      this.ran.push(id)
      const signature = this.isSigned ? 'X-Server-Stamp: s\r\n' : ''
      setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 ${this.status} X\r\nX-Attempt-Id: ${id}\r\n${signature}${this.headers}Content-Type: text/event-stream\r\nContent-Length: ${answerText.length}\r\n\r\n${answerText}`) }, workMilliseconds)
    })
  }
}

const upgradeHeaders = 'Connection: Upgrade\r\nUpgrade: other\r\n'
/** Node reports an upgrade by an event of its own, and no answer. */
const invalidAnswers: readonly { readonly name: string, readonly status: string, readonly headers?: string }[] = [
  ...['000', '007', '099', '101', '600', '999'].map(status => ({ name: status, status })),
  { name: '101 that upgrades the connection', status: '101', headers: upgradeHeaders }
]
const kinds = [
  { kind: 'unsafe', isRepeatable: false },
  { kind: 'safe', isRepeatable: true },
  { kind: 'stream', isRepeatable: true }
] as const

for (const { name, status, headers } of invalidAnswers) {
  for (const isSigned of [true, false]) {
    test(`invalid status: ${name}, ${isSigned ? 'signed' : 'unsigned'}`, async t => {
      const log = new SharedLog(dataCentre)
      const faulty = new StatusUpstream(status, isSigned, headers)
      const all = [faulty, ...Array.from({ length: upstreams - 1 }, () => new StatusUpstream('200', true))]
      log.append('operators', 'config', bytesOf({
        version: 1,
        routes: kinds.map(({ kind }) => ({ name: kind, host: 'a.example', 'path-prefix': `/${kind}/`, 'route-type': kind, resumable: kind === 'stream', 'timeout-ms': 2500, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 2, public: true, service: 'plain' })),
        services: [{ name: 'plain', 'max-conns': 200 }]
      }))
      for (const [index, upstream] of all.entries()) log.append('instances', `i-${index}`, bytesOf({ service: 'plain', address: `127.0.0.1:${await upstream.start()}`, zone: dataCentre, state: 'ready', slots: 20, born: 1000 }))
      const [entry] = await startEntries(log, [dataCentre], 1)
      if (entry === undefined) throw new Error('no entry was started')
      await eventually(async () => await versionInForce(entry) === 1)
      await sleepUntil(monotonicNow() + 300)
      for (const { kind, isRepeatable } of kinds) {
        const answers: Promise<Received>[] = []
        for (let index = 0; index < requests; index += 1) {
          answers.push(call(entry.callers, `/${kind}/1`, `${kind}-${index}`))
          await sleepUntil(monotonicNow() + intervalMilliseconds)
        }
        const received = await Promise.all(answers)
        const unserved = received.filter(answer => answer.status !== 200)
        if (isRepeatable) t.same(unserved, [], `${kind}: all are served by the other upstreams`)
        else t.same(unserved.filter(answer => answer.status !== 502), [], `${kind}: a request that may not run again fails with 502`)
      }
      const runs = all.flatMap(upstream => upstream.ran).filter(id => id.startsWith('unsafe'))
      t.equal(new Set(runs).size, runs.length, 'no request that may not run again runs twice')
      t.ok(faulty.ran.length < requests * kinds.length / upstreams, `the upstream counts as failing: it got ${faulty.ran.length} of ${requests * kinds.length} requests`)
      await entry.node.stop()
      for (const upstream of all) upstream.stop()
    })
  }
}

/** What a caller received; 0 for no answer, or one that its parser refused. */
interface Received { readonly id: string, readonly status: number }

function call (address: string, path: string, id: string): Promise<Received> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = request({ host, port, path, agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '2400' } }, answer => {
      answer.resume()
      answer.on('end', () => { resolve({ id, status: answer.statusCode ?? 0 }) })
    })
    outgoing.on('upgrade', (answer, socket) => {
      socket.destroy()
      resolve({ id, status: answer.statusCode ?? 0 })
    })
    outgoing.on('error', () => { resolve({ id, status: 0 }) })
    outgoing.end()
  })
}

/** Calls to agents, other entries, the store and the origin; each must fail as if nothing usable had come. */
for (const { name, status, headers } of invalidAnswers) {
  test(`invalid status: ${name} to a call between nodes`, async t => {
    const upstream = new StatusUpstream(status, false, headers)
    const address = `127.0.0.1:${await upstream.start()}`
    await t.rejects(callHttp({ address, method: 'PUT', path: '/', deadline: monotonicNow() + 2000, maximumBytes: 1000 }), { message: /status/ })
    await t.rejects(sendRequest({ url: `http://${address}/`, method: 'GET', deadline: Date.now() + 2000 }), TransportError)
    upstream.stop()
  })
}
