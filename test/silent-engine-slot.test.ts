/** A stream at an engine that is silent before its first event, beside engines that are full by the last report of their agents, which grant slots as requests end. */
import { createServer, request, type Server, type ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { DatagramSocket } from '../src/transports/datagrams.js'
import type { NodeMessage } from '../src/types/node-messages.js'
import { freshIp, internalPort, metricOf, startEntries, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentre = 'zone-a'
const model = 'weights-a'
const slots = 8
/** Time after which callers abandon a stream without a first event, milliseconds. */
const patienceMilliseconds = 3200

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** An engine with its agent, which reports all slots in use and two requests queued, and grants slots all the same: requests have ended since. `grants`: slots that it still grants. */
class ReportedFullEngine {
  readonly ip = freshIp()
  readonly received: string[] = []
  private reports: NodeJS.Timeout | undefined
  private readonly server: Server
  private readonly agent: DatagramSocket

  constructor (readonly id: string, public grants: number, private readonly answersRequests: boolean) {
    this.server = createServer((incoming, response) => {
      const attempt = String(incoming.headers['x-attempt-id'])
      this.received.push(attempt)
      incoming.resume()
      if (this.answersRequests) answer(response, attempt)
    })
    this.agent = new DatagramSocket(internalPort, (message, sender) => { this.reply(message, sender) })
  }

  async start (entryIp: string): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(8080, this.ip, resolve) })
    await this.agent.open(this.ip)
    this.reports = setInterval(() => {
      this.agent.send({ kind: 'load', startedAt: 1000, orders: 0, running: slots, waiting: 2, model, version: 1, isSwapping: false, readyInMilliseconds: 0 }, entryIp)
    }, 100)
  }

  stop (): void {
    clearInterval(this.reports)
    this.agent.close()
    this.server.close()
    this.server.closeAllConnections()
  }

  get record (): Buffer {
    return bytesOf({ service: 'tokens', address: `${this.ip}:8080`, zone: dataCentre, state: 'ready', slots, born: 1000, 'model-list': [{ name: model, version: 1 }] })
  }

  private reply (message: NodeMessage, sender: string): void {
    if (message.kind === 'slot-release') this.grants += 1
    if (message.kind !== 'slot-request') return
    const isGranted = this.grants > 0
    if (isGranted) this.grants -= 1
    this.agent.send({ kind: 'slot-reply', number: message.number, load: slots, isGranted }, sender)
  }
}

function answer (response: ServerResponse, attempt: string): void {
  response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': attempt, 'content-type': 'text/event-stream' })
  response.end('id: 1\ndata: token\n\n')
}

/** Sends a request that is abandoned when no event has come in time; resolves with what was received. */
function call (entry: GroupedEntry, id: string): Promise<string> {
  const [host = '', port = ''] = entry.callers.split(':')
  return new Promise(resolve => {
    let body = ''
    const outgoing = request({ host, port, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '5200', 'x-model': model, 'x-token-counts': '100,4' } }, response => {
      response.on('data', (part: Buffer) => { body += part.toString() })
      response.on('error', () => {})
      response.on('close', () => { resolve(`${response.statusCode ?? 0} ${body}`) })
    })
    outgoing.on('error', () => { resolve('abandoned') })
    outgoing.end()
    setTimeout(() => { outgoing.destroy() }, patienceMilliseconds).unref()
  })
}

test('silent engine: another one whose agent grants a slot answers before the caller leaves', async t => {
  const log = new SharedLog(dataCentre)
  log.append('operators', 'config', bytesOf({
    version: 1,
    routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'stream', resumable: true, 'timeout-ms': 6000, 'latency-goal-ms': 800, priority: 1, 'max-attempts': 3, public: true, service: 'tokens' }],
    services: [{ name: 'tokens', 'max-conns': 80, 'engine-config': { slots, layers: 16, 'model-list': [{ name: model }] } }]
  }))
  const [entry] = await startEntries(log, [dataCentre], 1)
  if (entry === undefined) throw new Error('no entry was started')
  const entryIp = entry.callers.split(':')[0] ?? ''
  const silent = new ReportedFullEngine('i-0', 1, false)
  const other = new ReportedFullEngine('i-1', 0, true)
  for (const engine of [silent, other]) {
    await engine.start(entryIp)
    log.append('instances', engine.id, engine.record)
  }
  await delay(1000)
  const result = call(entry, 'request-0')
  await eventually(async () => silent.received.length === 1)
  other.grants = 1
  t.equal(await result, '200 id: 1\ndata: token\n\n')
  t.same(other.received, ['request-0'])
  await eventually(async () => await metricOf(entry, 'pollendyke_upstream_requests') === 0)
  await entry.node.stop()
  silent.stop()
  other.stop()
})
