/** A stream breaks off and the next upstream answers with an error: its caller gets no byte of the error, and no stream that looks complete. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, versionInForce } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentre = 'zone-a'
const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))
const event = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
const errorText = 'upstream failed: out of memory\n\n'
const callers = 4

type Ending = 'reset' | 'end' | 'within-event'
type Framing = 'length' | 'chunks' | 'close'

interface Case {
  readonly events: number
  readonly ending: Ending
  readonly status: number
  readonly framing: Framing
  readonly isResumable: boolean
}

const cases: readonly Case[] = [
  ...[0, 1, 2].flatMap(events => (['reset', 'end', 'within-event'] as const).flatMap(ending => [500, 503, 404, 421, 200].map((status, index) => (
    { events, ending, status, framing: (['length', 'chunks', 'close'] as const)[(index + events) % 3] ?? 'length', isResumable: true })))),
  ...[503, 421].map(status => ({ events: 0, ending: 'reset', status, framing: 'length', isResumable: false } as const)),
  { events: 1, ending: 'reset', status: 500, framing: 'close', isResumable: false },
  { events: 2, ending: 'within-event', status: 200, framing: 'close', isResumable: false }
]

/** Upstreams of which the first call of a request breaks off, and all later ones answer with the error. */
class BreakingUpstreams {
  private readonly broken = new Set<string>()
  private readonly sockets = new Set<Socket>()
  private readonly servers: readonly Server[]

  constructor (private readonly scenario: Case, count: number) {
    this.servers = Array.from({ length: count }, () => createServer(socket => { this.accept(socket) }))
  }

  async start (): Promise<readonly number[]> {
    await Promise.all(this.servers.map(server => new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })))
    return this.servers.map(server => (server.address() as AddressInfo).port)
  }

  stop (): void {
    for (const server of this.servers) server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (part: Buffer) => {
      const id = /x-attempt-id: (\S+)/i.exec(part.toString())?.[1] ?? ''
      if (this.broken.has(id)) this.sendError(socket, id)
      else {
        this.broken.add(id)
        this.breakOff(socket, id)
      }
    })
  }

  private breakOff (socket: Socket, id: string): void {
    const { events, ending } = this.scenario
    const sent = Array.from({ length: events }, (_, index) => chunk(event(index + 1))).join('')
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${sent}${ending === 'within-event' ? chunk('id: 9\nda') : ''}`)
    setTimeout(() => {
      if (ending === 'reset') socket.resetAndDestroy()
      else socket.end()
    }, 30)
  }

  private sendError (socket: Socket, id: string): void {
    const { status, framing } = this.scenario
    const notRun = status === 503 || status === 421 ? 'X-Not-Executed: 1\r\n' : ''
    const head = `HTTP/1.1 ${status} X\r\nX-Attempt-Id: ${id}\r\nX-Server-Stamp: s\r\n${notRun}Content-Type: text/plain\r\n`
    if (framing === 'length') socket.write(`${head}Content-Length: ${Buffer.byteLength(errorText)}\r\n\r\n${errorText}`)
    else if (framing === 'chunks') socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk(errorText)}0\r\n\r\n`)
    else socket.end(`${head}Connection: close\r\n\r\n${errorText}`)
  }
}

for (const scenario of cases) {
  const { events, ending, status, framing, isResumable } = scenario
  test(`error after a broken stream: ${events} events, ${ending}, then ${status} by ${framing}, ${isResumable ? '' : 'not '}resumable`, async t => {
    const upstreams = new BreakingUpstreams(scenario, 3)
    const log = new SharedLog(dataCentre)
    log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'stream', resumable: isResumable, 'timeout-ms': 3000, 'latency-goal-ms': 300, 'gap-target-ms': 400, priority: 1, 'max-attempts': 2, public: true, service: 'plain' }],
      services: [{ name: 'plain', 'max-conns': 0 }]
    }))
    for (const [index, port] of (await upstreams.start()).entries()) log.append('instances', `i-${index}`, bytesOf({ service: 'plain', address: `127.0.0.1:${port}`, zone: dataCentre, state: 'ready', slots: 200, born: 1000 }))
    const [entry] = await startEntries(log, [dataCentre], 1)
    if (entry === undefined) throw new Error('no entry was started')
    await eventually(async () => await versionInForce(entry) === 1)
    await sleepUntil(monotonicNow() + 300)
    const answers = await Promise.all(Array.from({ length: callers }, async (_, index) => await receive(entry.callers, `id-${index}`)))
    for (const answer of answers) {
      const [head = '', ...rest] = answer.split('\r\n\r\n')
      const body = rest.join('\r\n\r\n')
      const isStream = /^HTTP\/1\.1 200/.test(head) && /event-stream/i.test(head)
      const foreign = isStream && (body.includes('upstream failed') || body.includes('HTTP/1.1') || body.includes('da\r\n'))
      t.notOk(foreign, 'a stream holds no byte of an error')
      t.notOk(isStream && body.endsWith('0\r\n\r\n'), 'a stream that is not whole does not end as complete')
      const ids = [...body.matchAll(/id: (\d+)\n/g)].map(match => Number(match[1]))
      if (isStream) t.same(ids, ids.map((_, index) => index + 1), 'each event comes once and in order')
      t.notOk((events > 0 || !isResumable) && /^HTTP\/1\.1 (503|421|429|408)/.test(head), 'what an upstream ran is not said to be not run')
    }
    await entry.node.stop()
    upstreams.stop()
  })
}

/** All bytes that a caller receives until its connection is closed, or for two seconds. */
function receive (address: string, id: string): Promise<string> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    let received = ''
    const socket = connect({ host, port: Number(port) })
    const finish = (): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(received)
    }
    const timer = setTimeout(finish, 2000)
    socket.on('data', (part: Buffer) => { received += part.toString('latin1') })
    socket.on('close', finish)
    socket.on('error', finish)
    socket.write(`GET /r/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 2500\r\nConnection: close\r\n\r\n`)
  })
}
