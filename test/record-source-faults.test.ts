/** Entries that read records from others: silent, slow, and just started sources. */
import { createServer, Agent, type RequestListener } from 'node:http'
import { test, type Test } from 'tap'
import type { PreferredSource } from '../src/core/fleet/record-sources.js'
import { FedRecordLog } from '../src/nodes/fed-record-log.js'
import { ReadMetrics } from '../src/nodes/read-metrics.js'
import { RecordFeed } from '../src/nodes/record-feed.js'
import { RecordFollower } from '../src/nodes/record-follower.js'
import { SelectedRecordLog } from '../src/nodes/selected-record-log.js'
import { Metrics } from '../src/plugins/metrics.js'
import { listenOn } from '../src/transports/http-listen.js'
import { RecordLog } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'
import { freshAddress } from '../script/launch.js'
import { SharedLog } from './fakes/shared-log.js'
import { at } from './fakes/positions.js'

const internalPort = 7700
/** Time from an acknowledgement until a configuration must be in force on a small deployment, milliseconds. */
const applyMilliseconds = 2000
/** Longest wait of an entry's read (roles/gateway/fleet-records.ts), milliseconds. */
const readWaitMilliseconds = 1000
const silent: RequestListener = () => {}
const answering: RequestListener = (_request, response) => { response.setHeader('x-record-age', '0').setHeader('x-record-source-connected', 'yes').end('{"records":[],"next":1}') }
/** Sends an answer of 40 kB in ten parts within a second, as a busy link does. */
const slow: RequestListener = (_request, response) => {
  const parts = [`{"records":[{"key":"config","value":"${'x'.repeat(40_000)}","offset":0}]`, ...Array.from({ length: 8 }, () => '          '), ',"next":1}']
  response.setHeader('x-record-age', '0').setHeader('x-record-source-connected', 'yes')
  const timer = setInterval(() => {
    const part = parts.shift()
    if (part === undefined) {
      clearInterval(timer)
      response.end()
    } else response.write(part)
  }, 100)
  response.on('close', () => { clearInterval(timer) })
}

interface Case {
  readonly name: string
  readonly call: 'read' | 'newest'
  /** How the sources before the log answer, in their order. */
  readonly sources: readonly RequestListener[]
  /** Source that must have answered, by position, or the log. */
  readonly expected: string
  readonly maximumMilliseconds: number
}

const cases: readonly Case[] = [
  { name: 'three first sources lost their power, as when half of a data centre does: the log is read in time', call: 'read', sources: [silent, silent, silent], expected: 'log', maximumMilliseconds: applyMilliseconds },
  { name: 'two first entries and both entries near the log lost their power: the log is read in time', call: 'read', sources: [silent, silent, silent, silent], expected: 'log', maximumMilliseconds: applyMilliseconds },
  { name: 'at the start the first source is an entry that no longer exists: the next one is asked before the log', call: 'newest', sources: [silent, answering], expected: '1', maximumMilliseconds: Infinity },
  { name: 'an answer that arrives slowly is not thrown away and read again from the log', call: 'read', sources: [slow], expected: '0', maximumMilliseconds: Infinity }
]

for (const { name, call, sources, expected, maximumMilliseconds } of cases) {
  test(`record source faults: ${name}`, async t => {
    const log = new SharedLog('home')
    log.append('operators', 'config', Buffer.from('first'))
    const entries = await Promise.all(sources.map(async (serve, index): Promise<PreferredSource> => ({ kind: 'entry', instance: String(index), ip: await listen(t, serve), isSameDataCentre: true, isReady: true })))
    const selected = new SelectedRecordLog({
      stream: 'operators',
      instance: 'self',
      log: log.readerIn('home', 'self'),
      internalPort,
      logWaitMilliseconds: 500,
      metrics: new ReadMetrics(new Metrics(), 'operators'),
      readLate: () => {},
      sources: () => [...entries, { kind: 'log' }]
    })
    const startedAt = monotonicNow()
    if (call === 'newest') await selected.newest('operators')
    else await selected.read('operators', at(0), monotonicNow() + readWaitMilliseconds, 1024)
    const milliseconds = Math.round(monotonicNow() - startedAt)
    t.equal(selected.source, expected)
    t.ok(milliseconds <= maximumMilliseconds, `answered after ${milliseconds} ms`)
  })
}

test('record source faults: a node that stops does not turn to the log because its source stops too', async t => {
  const log = new SharedLog('home')
  log.append('operators', 'config', Buffer.from('first'))
  const ip = await listen(t, silent)
  const selected = new SelectedRecordLog({
    stream: 'operators',
    instance: 'self',
    log: log.readerIn('east', 'self'),
    internalPort,
    logWaitMilliseconds: 500,
    metrics: new ReadMetrics(new Metrics(), 'operators'),
    readLate: () => {},
    sources: () => [{ kind: 'entry', instance: 'first', ip, isSameDataCentre: true, isReady: true }, { kind: 'log' }]
  })
  const read = selected.read('operators', at(0), monotonicNow() + readWaitMilliseconds, 1024)
  setTimeout(() => { selected.close() }, 100)
  await t.rejects(read)
  t.equal(log.bytesReadIn('east'), 0)
})

class UnresponsiveLog extends RecordLog {
  async newest (): Promise<never> { return await new Promise<never>(() => {}) }
  async read (): Promise<never> { return await new Promise<never>(() => {}) }
  async write (): Promise<void> {}
}

test('record source faults: an entry that has read nothing yet does not confirm the records of others', async t => {
  const follower = new RecordFollower(new UnresponsiveLog(), 'instances', { pause: 1, wait: 100 }, { record: () => {}, confirmed: () => {} })
  follower.run().catch(error => { t.error(error) })
  t.teardown(() => { follower.stop() })
  const feed = new RecordFeed({ operators: follower, instances: follower }, () => '')
  const ip = await listen(t, (incoming, response) => { feed.serve(incoming.url ?? '', response).catch(error => { t.error(error) }) })
  await t.rejects(new FedRecordLog(`${ip}:${internalPort}`, 'instances', new Agent(), 'peer', 'self').read('instances', at(5), monotonicNow() + 100))
})

test('record source faults: an entry that has read less than its poller does not confirm the poller\'s records', async t => {
  const ip = await listen(t, (_request, response) => { response.setHeader('x-record-age', '0').setHeader('x-record-source-connected', 'yes').end('{"records":[],"next":3}') })
  const page = await new FedRecordLog(`${ip}:${internalPort}`, 'instances', new Agent(), 'peer', 'self').read('instances', at(5), monotonicNow() + 100)
  t.match(page, { kind: 'records', next: at(5), ageMilliseconds: Infinity })
})

/** IP of a server with the given handler. */
async function listen (t: Test, serve: RequestListener): Promise<string> {
  const server = createServer(serve)
  const ip = freshAddress().split(':')[0] ?? ''
  await listenOn(server, `${ip}:${internalPort}`)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return ip
}
