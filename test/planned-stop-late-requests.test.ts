/** Callers that go on asking an entry until its planned stop has ended: a request that an upstream got has its answer, and others are refused. */
import { Agent, createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { RouteDurations } from '../src/core/dispatch/route-durations.js'
import { mayTakeWhileStopping, type StopRequest, type StopTimes } from '../src/core/dispatch/stop-admission.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, type GroupedEntry } from './fakes/entry-group.js'
import { dataCentre } from './fakes/plain-fleet.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const stopGraceMilliseconds = 4000
const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))
const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

/** One request of a caller and its end. */
interface Call { readonly id: string, readonly result: 'answered' | 'refused' | 'no-entry' | 'cut', readonly connection: string | undefined }

interface Case { readonly kind: 'safe' | 'unsafe', readonly workMilliseconds: number, readonly connections: 'kept' | 'new' }

const cases: readonly Case[] = (['unsafe', 'safe'] as const).flatMap(kind => [30, 300, 1500].flatMap(workMilliseconds =>
  (['kept', 'new'] as const).map(connections => ({ kind, workMilliseconds, connections }))))

/** An upstream that works on each request for some time, before one entry. */
class StopFleet {
  readonly received = new Set<string>()
  entry!: GroupedEntry
  private readonly log = new SharedLog(dataCentre)
  private readonly agent: Agent | undefined
  private readonly upstream: Server

  constructor (private readonly options: Case) {
    this.agent = options.connections === 'kept' ? new Agent({ keepAlive: true }) : undefined
    this.upstream = createServer((incoming, response) => { this.serve(incoming, response) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.upstream.listen(0, '127.0.0.1', resolve) })
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': this.options.kind, 'timeout-ms': 4000, 'latency-goal-ms': 2000, priority: 1, 'max-attempts': 1, public: true, service: 'plain' }],
      services: [{ name: 'plain', 'max-conns': 0 }]
    }))
    const { port } = this.upstream.address() as AddressInfo
    this.log.append('instances', 'i-1', bytesOf({ service: 'plain', address: `127.0.0.1:${port}`, zone: dataCentre, state: 'ready', slots: 500, born: 1000 }))
    const [entry] = await startEntries(this.log, [dataCentre], 1, [], new Map(), { stopGraceMilliseconds })
    if (entry === undefined) throw new Error('no entry was started')
    this.entry = entry
    await eventually(async () => (await this.call('start')).result === 'answered')
  }

  stop (): void {
    this.agent?.destroy()
    this.upstream.close()
    this.upstream.closeAllConnections()
  }

  /** Sends a request and waits for its end. */
  call (id: string): Promise<Call> {
    const [host = '', port = ''] = this.entry.callers.split(':')
    const headers = { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '4000' }
    return new Promise(resolve => {
      const outgoing = request({ host, port, path: '/r/1', agent: this.agent ?? false, headers }, answer => {
        const { connection } = answer.headers
        answer.resume()
        answer.on('close', () => { resolve({ id, result: !answer.complete ? 'cut' : answer.statusCode === 200 ? 'answered' : 'refused', connection }) })
        answer.on('error', () => {})
      })
      outgoing.on('error', (error: NodeJS.ErrnoException) => { resolve({ id, result: error.code === 'ECONNREFUSED' ? 'no-entry' : 'cut', connection: undefined }) })
      outgoing.end()
    })
  }

  private serve (incoming: IncomingMessage, response: ServerResponse): void {
    const id = String(incoming.headers['x-attempt-id'])
    this.received.add(id)
    setTimeout(() => { response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': id }).end('done') }, this.options.workMilliseconds)
  }
}

for (const options of cases) {
  test(`planned stop: ${options.kind} requests of ${options.workMilliseconds} ms over ${options.connections} connections`, async t => {
    const fleet = new StopFleet(options)
    await fleet.start()
    t.teardown(() => { fleet.stop() })
    const calls: Promise<Call>[] = []
    const askUntil = async (hasEnded: () => boolean): Promise<void> => {
      while (!hasEnded()) {
        calls.push(fleet.call(`request-${calls.length}`))
        await pause(10)
      }
    }
    const began = monotonicNow()
    await askUntil(() => monotonicNow() > began + options.workMilliseconds + 500)
    let isStopped = false
    const beforeStop = calls.length
    const stopping = fleet.entry.node.stop().then(() => { isStopped = true })
    await askUntil(() => isStopped)
    await stopping
    const ended = await Promise.all(calls)
    t.same(ended.filter(({ id, result }) => result === 'cut' && fleet.received.has(id)), [], 'no request is cut that an upstream got')
    t.same(ended.filter(({ id, result }) => result === 'refused' && fleet.received.has(id)), [], 'no request is refused that an upstream got')
    const duringStop = ended.slice(beforeStop)
    t.ok(duringStop.some(({ result }) => result === 'refused'), 'late requests are refused')
    t.same(duringStop.filter(({ result, connection }) => result === 'refused' && connection !== 'close'), [], 'a refusal closes the connection')
    if (options.kind === 'safe' && options.workMilliseconds < 1000) t.ok(duringStop.filter(({ result }) => result === 'answered').length > duringStop.length / 2, 'callers with a fresh address are served')
  })
}

const times: StopTimes = { closesAt: 8000, cachedUntil: 4000 }
const stopRequest: StopRequest = { arrivedAt: 1000, deadline: 9000, usualEnd: 3000, isRepeatable: true }
const decisions: readonly { readonly name: string, readonly request?: Partial<StopRequest>, readonly isTaken: boolean }[] = [
  { name: 'a repeatable request that usually ends before', isTaken: true },
  { name: 'one that usually ends later', request: { usualEnd: 7950 }, isTaken: false },
  { name: 'one of a route without a known duration', request: { usualEnd: undefined }, isTaken: false },
  { name: 'one that must not be repeated', request: { isRepeatable: false }, isTaken: false },
  { name: 'one that must not be repeated with its deadline before', request: { isRepeatable: false, deadline: 7800 }, isTaken: true },
  { name: 'one that arrives after the addresses have expired', request: { arrivedAt: 4100 }, isTaken: false },
  { name: 'such a one with its deadline before', request: { arrivedAt: 4100, deadline: 7800 }, isTaken: true }
]

for (const { name, request: changes, isTaken } of decisions) {
  test(`stop admission: ${name}`, async t => {
    t.equal(mayTakeWhileStopping(times, { ...stopRequest, ...changes }), isTaken)
  })
}

test('route durations: twice the longest of the last seconds', async t => {
  const durations = new RouteDurations()
  t.equal(durations.usualEnd('r', 0), undefined)
  durations.recordEnd('r', 0, 400)
  durations.recordEnd('r', 300, 500)
  t.equal(durations.usualEnd('r', 600), 1400)
  durations.recordEnd('r', 5500, 5600)
  t.equal(durations.usualEnd('r', 5700), 6500, 'the half before counts')
  t.equal(durations.usualEnd('r', 10_500), 10_700)
  t.equal(durations.usualEnd('r', 30_000), undefined)
})
