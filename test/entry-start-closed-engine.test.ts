/** An entry that starts must not use an engine that its agent keeps closed, since no check vouches for its load: the record of the engine names its version all the same. */
import { createServer, request, type Server } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { DatagramSocket } from '../src/transports/datagrams.js'
import type { NodeMessage } from '../src/types/node-messages.js'
import { freshIp, internalPort, startEntries, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'

const dataCentre = 'zone-a'
const model = 'weights-a'
const slots = 8
const reportIntervalMilliseconds = 100

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** An engine whose agent answers a subscription with its next poll, reports the engine as closed and grants no slots. */
class ClosedEngine {
  readonly ip = freshIp()
  readonly received: string[] = []
  private subscriber: string | undefined
  private reports: NodeJS.Timeout | undefined
  private readonly server: Server
  private readonly agent: DatagramSocket

  constructor () {
    this.server = createServer((incoming, response) => {
      const attempt = String(incoming.headers['x-attempt-id'])
      this.received.push(attempt)
      incoming.resume()
      response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': attempt, 'content-type': 'text/event-stream' })
      response.end('id: 1\ndata: token\n\n')
    })
    this.agent = new DatagramSocket(internalPort, (message, sender) => { this.reply(message, sender) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(8080, this.ip, resolve) })
    await this.agent.open(this.ip)
    this.reports = setInterval(() => {
      if (this.subscriber !== undefined) this.agent.send({ kind: 'load', startedAt: 1000, orders: 1, running: 0, waiting: 0, model, version: 2, isSwapping: true, readyInMilliseconds: -1 }, this.subscriber)
    }, reportIntervalMilliseconds)
  }

  stop (): void {
    clearInterval(this.reports)
    this.agent.close()
    this.server.close()
    this.server.closeAllConnections()
  }

  get record (): Buffer {
    return bytesOf({ service: 'tokens', address: `${this.ip}:8080`, zone: dataCentre, state: 'ready', slots, born: 1000, 'model-list': [{ name: model, version: 2 }] })
  }

  private reply (message: NodeMessage, sender: string): void {
    if (message.kind === 'subscription') this.subscriber = sender
    if (message.kind === 'slot-request') this.agent.send({ kind: 'slot-reply', number: message.number, load: slots, isGranted: false }, sender)
  }
}

function call (entry: GroupedEntry, id: string): void {
  const [host = '', port = ''] = entry.callers.split(':')
  const outgoing = request({ host, port, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '2000', 'x-model': model, 'x-token-counts': '100,4' } }, response => { response.resume() })
  outgoing.on('error', () => {})
  outgoing.end()
}

for (const { name, callsBefore } of [{ name: 'requests come with its start', callsBefore: 0 }, { name: 'requests come a second later', callsBefore: 1000 }]) {
  test(`entry that starts: an engine that its agent keeps closed, and ${name}`, async t => {
    const log = new SharedLog(dataCentre)
    const engine = new ClosedEngine()
    await engine.start()
    log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'stream', resumable: true, 'timeout-ms': 6000, 'latency-goal-ms': 800, priority: 1, 'max-attempts': 3, public: true, service: 'tokens' }],
      services: [{ name: 'tokens', 'max-conns': 80, 'engine-config': { slots, layers: 16, 'model-list': [{ name: model }] } }]
    }))
    log.append('instances', 'i-0', engine.record)
    const [entry] = await startEntries(log, [dataCentre], 1)
    if (entry === undefined) throw new Error('no entry was started')
    t.teardown(async () => {
      await entry.node.stop()
      engine.stop()
    })
    await delay(callsBefore)
    for (let number = 0; number < 20; number += 1) {
      call(entry, `request-${number}`)
      await delay(25)
    }
    await delay(500)
    t.same(engine.received, [], 'requests that the engine received')
  })
}
