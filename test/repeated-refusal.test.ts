/** A refusal that a faulty upstream sends once more, before the answer to the next request on the connection, refuses no other request: callers are not told 'not run' of what ran. */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, versionInForce } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentre = 'zone-a'
const upstreams = 3
const requests = 200
const intervalMilliseconds = 15
const workMilliseconds = 25
/** A whole answer, and a whole stream. */
const answerText = 'id: 1\ndata: done\n\n'

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** An upstream that sends each refusal once more when the next request on the connection has been read. */
class RepeatingUpstream {
  /** Ids of the requests that it ran, each time. */
  readonly ran: string[] = []
  private received = 0
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  /** It refuses one request of `refusalInterval`. */
  constructor (private readonly hasId: boolean, private readonly refusalInterval: number) {
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
    let repeated = ''
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('error', () => {})
    socket.on('data', (part: Buffer) => {
      const id = /x-attempt-id: (\S+)/i.exec(part.toString())?.[1] ?? ''
      if (repeated !== '') socket.write(repeated)
      repeated = ''
      this.received += 1
      if (this.received % this.refusalInterval === 0) {
        repeated = `HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n${this.hasId ? `X-Attempt-Id: ${id}\r\n` : ''}Content-Length: 0\r\n\r\n`
        socket.write(repeated)
        return
      }
      this.ran.push(id)
      setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: ${answerText.length}\r\n\r\n${answerText}`) }, workMilliseconds)
    })
  }
}

/** With one refusal in four the repeats exceed the retry budget of the entry, so that requests may be lost. */
const cases: readonly { readonly name: string, readonly hasId: boolean, readonly refusalInterval: number, readonly isWithinBudget: boolean, readonly kind?: 'safe' | 'unsafe' | 'stream' }[] = [
  { name: 'with the id of its request', hasId: true, refusalInterval: 8, isWithinBudget: true },
  { name: 'without an id', hasId: false, refusalInterval: 8, isWithinBudget: true },
  { name: 'with the id of its request, one in four', hasId: true, refusalInterval: 4, isWithinBudget: false },
  { name: 'without an id, one in four', hasId: false, refusalInterval: 4, isWithinBudget: false },
  ...(['unsafe', 'stream'] as const).flatMap(kind => [true, false].map(hasId => ({ name: `${hasId ? 'with the id of its request' : 'without an id'}, ${kind}`, hasId, refusalInterval: 8, isWithinBudget: true, kind })))
]

for (const { name, hasId, refusalInterval, isWithinBudget, kind = 'safe' } of cases) {
  test(`repeated refusal: ${name}`, async t => {
    const log = new SharedLog(dataCentre)
    const faulty = Array.from({ length: upstreams }, () => new RepeatingUpstream(hasId, refusalInterval))
    log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': kind, resumable: kind === 'stream', 'timeout-ms': 1500, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 2, public: true, service: 'plain' }],
      services: [{ name: 'plain', 'max-conns': 200 }]
    }))
    for (const [index, upstream] of faulty.entries()) log.append('instances', `i-${index}`, bytesOf({ service: 'plain', address: `127.0.0.1:${await upstream.start()}`, zone: dataCentre, state: 'ready', slots: 20, born: 1000 }))
    const [entry] = await startEntries(log, [dataCentre], 1)
    if (entry === undefined) throw new Error('no entry was started')
    await eventually(async () => await versionInForce(entry) === 1)
    await sleepUntil(monotonicNow() + 300)
    const answers: Promise<{ readonly id: string, readonly status: number }>[] = []
    for (let index = 0; index < requests; index += 1) {
      answers.push(call(entry.callers, `id-${index}`))
      await sleepUntil(monotonicNow() + intervalMilliseconds)
    }
    const results = await Promise.all(answers)
    const ran = (id: string): boolean => faulty.some(upstream => upstream.ran.includes(id))
    const untrue = results.filter(({ id, status }) => status === 503 && ran(id))
    const lost = results.filter(({ status }) => status !== 200 && status !== 503)
    const runs = faulty.flatMap(upstream => upstream.ran)
    if (kind === 'unsafe') t.equal(new Set(runs).size, runs.length, 'no request runs twice')
    t.same(untrue, [], 'no caller is told that a request was not run that an upstream ran')
    if (isWithinBudget) t.same(lost, [], 'no caller loses its answer over the late bytes of another request')
    await entry.node.stop()
    for (const upstream of faulty) upstream.stop()
  })
}

function call (address: string, id: string): Promise<{ readonly id: string, readonly status: number }> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = request({ host, port, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '1400' } }, answer => {
      answer.resume()
      answer.on('end', () => { resolve({ id, status: answer.statusCode ?? 0 }) })
    })
    outgoing.on('error', () => { resolve({ id, status: 0 }) })
    outgoing.end()
  })
}
