/** Sources of records: which entry reads for which, and what a reader takes over when another one fails. */
import { createServer, type Server } from 'node:http'
import { test, type Test } from 'tap'
import { isEarlierRead, orderSources, outsideReadDelay, type AskedEntries, type OutsideReader, type StaleEntry } from '../src/core/fleet/record-sources.js'
import type { Member } from '../src/core/fleet/members.js'
import { ReadMetrics } from '../src/nodes/read-metrics.js'
import { SelectedRecordLog } from '../src/nodes/selected-record-log.js'
import { Metrics } from '../src/plugins/metrics.js'
import { listenOn } from '../src/transports/http-listen.js'
import { monotonicNow } from '../src/utils/clock.js'
import { rankMembers } from '../src/utils/rendezvous.js'
import { freshAddress } from '../script/launch.js'
import { startEntries, versionInForce, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'
import { at } from './fakes/positions.js'

const names = (dataCentre: string, count = 3): readonly string[] => rankMembers(`records/${dataCentre}`, Array.from({ length: count }, (_, index) => `${dataCentre}-${index}`))
const [a0 = '', a1 = '', a2 = ''] = names('a')
const [b0 = '', b1 = ''] = names('b')
const member = (instance: string, rest: Partial<Member> = {}): Member => ({ instance, ip: instance, callers: '', dataCentre: instance.split('-')[0] ?? '', region: '', incarnation: 1, beat: 1, isReady: true, logDelayMilliseconds: -1, ...rest })
const near = { logDelayMilliseconds: 4 }
const far = { logDelayMilliseconds: 9 }

interface OrderCase {
  readonly name: string
  readonly self: Member
  readonly others: readonly Member[]
  readonly expected: readonly string[]
}

const orderCases: readonly OrderCase[] = [
  { name: 'the first one of a data centre reads the log', self: member(a0), others: [member(a1), member(a2)], expected: ['log', a1, a2] },
  { name: 'the others read from it, then from each other in order, then from the log', self: member(a2), others: [member(a0), member(a1)], expected: [a0, a1, 'log'] },
  { name: 'entries of other data centres are no sources while no way to the log is measured', self: member(a0), others: [member(b0), member(b1)], expected: ['log'] },
  { name: 'the first one far from the log reads from those near it, then from the log', self: member(b0, far), others: [member(a0, near), member(a1, near), member(a2), member(b1)], expected: [a0, a1, a2, 'log', b1] },
  { name: 'those near the log that stop are asked as well', self: member(b0, far), others: [member(a0, { ...near, isReady: false }), member(a1, near), member(a2)], expected: [a0, a1, a2, 'log'] },
  { name: 'the first one near the log reads the log', self: member(a0, near), others: [member(b0, far)], expected: ['log'] },
  { name: 'a difference within the accuracy of the measurement does not count', self: member(b0, { logDelayMilliseconds: 4.5 }), others: [member(a0, near)], expected: ['log'] },
  { name: 'one that stops comes after the log', self: member(a1), others: [member(a0, { isReady: false })], expected: ['log', a0] },
  { name: 'one that starts reads from ready ones of any rank', self: member(a0, { isReady: false }), others: [member(a1), member(a2)], expected: [a1, a2, 'log'] },
  { name: 'while all start, the first one reads the log', self: member(a1, { isReady: false }), others: [member(a0, { isReady: false })], expected: [a0, 'log'] }
]

for (const { name, self, others, expected } of orderCases) {
  test(`record sources: ${name}`, async t => {
    t.same(orderSources(self, others).map(source => source.kind === 'log' ? 'log' : source.instance), expected)
  })
}

const reading = (ageMilliseconds: number): StaleEntry => ({ ageMilliseconds, isConnected: true, readingMilliseconds: undefined })
const failed: StaleEntry = { ageMilliseconds: 300, isConnected: false, readingMilliseconds: undefined }
const readingAgain = (readingMilliseconds: number): StaleEntry => ({ ageMilliseconds: 4000, isConnected: false, readingMilliseconds })
const one: OutsideReader = { isReadingForOthers: false, hasRecords: true, heldMilliseconds: 0 }

interface OutsideCase {
  readonly name: string
  readonly asked: Partial<AskedEntries>
  readonly reader?: Partial<OutsideReader>
  /** Time for which the entry still leaves the link to others, milliseconds; 0 if it reads at once. */
  readonly expected: number
}

const outsideCases: readonly OutsideCase[] = [
  { name: 'no entry before it answers', asked: {}, expected: 0 },
  { name: 'the reads of those before it failed: it asks them once more', asked: { before: [failed, failed, failed] }, expected: 150 },
  { name: 'the reads of those before it failed', asked: { before: [failed, failed, failed] }, reader: { heldMilliseconds: 150 }, expected: 0 },
  { name: 'the one before it is reading over a slow link', asked: { before: [reading(900)] }, expected: 300 },
  { name: 'the one before it has been reading for too long', asked: { before: [reading(1300)] }, expected: 0 },
  { name: 'the second one has begun to read after the first', asked: { before: [reading(1300), reading(1300)] }, expected: 300 },
  { name: 'neither of two has finished', asked: { before: [reading(2100), reading(2100)] }, expected: 0 },
  { name: 'one of three is still reading', asked: { before: [failed, reading(500), failed] }, expected: 700 },
  { name: 'one before it that had lost the log reads it again', asked: { before: [readingAgain(100)] }, expected: 550 },
  { name: 'one after it reads the log again', asked: { after: [failed, readingAgain(100)] }, expected: 500 },
  { name: 'one that reads again does not finish: it is cut off', asked: { before: [readingAgain(650)] }, expected: 0 },
  { name: 'one that reads again does not finish, and begins anew', asked: { before: [readingAgain(0)] }, reader: { heldMilliseconds: 650 }, expected: 0 },
  { name: 'two read again and share the link', asked: { before: [readingAgain(650)], after: [readingAgain(10)] }, expected: 600 },
  { name: 'it reads for the others: one that is cut off from the log alone does not hold it back', asked: { before: [readingAgain(100), failed] }, reader: { isReadingForOthers: true }, expected: 0 },
  { name: 'it reads for the others, and the first one has got through again', asked: { before: [reading(900)] }, reader: { isReadingForOthers: true }, expected: 300 },
  { name: 'it starts, and so does the one before it', asked: { refused: 1 }, reader: { hasRecords: false }, expected: 850 },
  { name: 'it starts, and the one before it has not started for long', asked: { refused: 1 }, reader: { hasRecords: false, heldMilliseconds: 850 }, expected: 0 },
  { name: 'it has records, and the process of the one before it has ended', asked: { refused: 1 }, reader: { heldMilliseconds: 50 }, expected: 0 }
]

for (const { name, asked, reader, expected } of outsideCases) {
  test(`record sources: ${expected === 0 ? 'an entry reads outside its data centre' : 'an entry leaves the link to others'}: ${name}`, async t => {
    t.equal(Math.max(0, outsideReadDelay({ before: [], after: [], refused: 0, ...asked }, { ...one, ...reader })), expected)
  })
}

const claimCases: readonly { readonly name: string, readonly reading: number | undefined, readonly claim: number | undefined, readonly expected: boolean }[] = [
  { name: 'another one reads, and this one does not claim to', reading: 0, claim: undefined, expected: true },
  { name: 'another one began first', reading: 30, claim: 20, expected: true },
  { name: 'this one claimed first', reading: 20, claim: 30, expected: false },
  { name: 'no one else reads', reading: undefined, claim: 30, expected: false }
]

for (const { name, reading: readingMilliseconds, claim, expected } of claimCases) {
  test(`record sources: ${expected ? 'the read of another entry counts' : 'an entry goes on'}: ${name}`, async t => {
    t.equal(isEarlierRead(readingMilliseconds, claim), expected)
  })
}

interface FailureCase {
  readonly name: string
  /** How the preferred entry answers a poll; undefined for a process that has ended. */
  readonly serve: ((server: Server) => void) | undefined
  readonly maximumMilliseconds: number
}

const failureCases: readonly FailureCase[] = [
  { name: 'one whose process has ended', serve: undefined, maximumMilliseconds: 900 },
  { name: 'one that does not answer', serve: server => { server.on('request', () => {}) }, maximumMilliseconds: 1000 },
  { name: 'one that has not reached the log for two seconds', serve: server => { server.on('request', (_request, response) => { response.setHeader('x-record-age', '2000').setHeader('x-record-source-connected', 'yes').end('{"records":[],"next":5}') }) }, maximumMilliseconds: 900 },
  { name: 'one that answers with something else', serve: server => { server.on('request', (_request, response) => { response.end('no records') }) }, maximumMilliseconds: 900 }
]

for (const { name, serve, maximumMilliseconds } of failureCases) {
  test(`record sources: a reader lost at the worst moment costs less than a second: ${name}`, async t => {
    const address = await listen(t, serve)
    const log = new SharedLog('home')
    log.append('operators', 'config', Buffer.from('first'))
    const [ip = '', port = ''] = address.split(':')
    const selected = new SelectedRecordLog({
      instance: 'node-1',
      stream: 'operators',
      log: log.readerIn('home', 'self'),
      internalPort: Number(port),
      logWaitMilliseconds: 500,
      metrics: new ReadMetrics(new Metrics(), 'operators'),
      readLate: () => {},
      sources: () => [{ kind: 'entry', instance: 'reader', ip, isSameDataCentre: true, isReady: true }, { kind: 'log' }]
    })
    const startedAt = monotonicNow()
    const page = await selected.read('operators', at(0), monotonicNow() + 1000, 10)
    t.match(page, { kind: 'records', next: at(1) })
    t.ok(monotonicNow() - startedAt < maximumMilliseconds + schedulingMilliseconds, `the log was read after ${Math.round(monotonicNow() - startedAt)} ms`)
    t.equal(selected.source, 'log')
  })
}

/** Delay of timers on a busy machine that the cases allow for, milliseconds. */
const schedulingMilliseconds = 2000

interface CutCase {
  readonly name: string
  /** Entries that lose the log, by rank in their data centre. */
  readonly cutRanks: readonly number[]
}

const cutCases: readonly CutCase[] = [
  { name: 'the reader of a data centre is cut off from the log', cutRanks: [0] },
  { name: 'the first two are cut off from the log', cutRanks: [0, 1] },
  { name: 'all but the last are cut off from the log', cutRanks: [0, 1, 2, 3] }
]

for (const { name, cutRanks } of cutCases) {
  test(`record sources: changes reach all entries though ${name}`, async t => {
    const log = new SharedLog('home')
    log.append('operators', 'config', encodeConfiguration(1))
    const entries = await startEntries(log, ['home'], 5)
    await haveInForce(entries, 1)
    const ranked = rankMembers('records/home', entries.map(({ instance }) => instance))
    for (const rank of cutRanks) log.unreachableFrom.add(ranked[rank] ?? '')
    log.append('operators', 'config', encodeConfiguration(2))
    await haveInForce(entries, 2)
    log.unreachableFrom.clear()
    log.append('operators', 'config', encodeConfiguration(3))
    await haveInForce(entries, 3)
    t.pass('each version was in force on all entries')
    await Promise.all(entries.map(({ node }) => node.stop()))
  })
}

test('record sources: changes reach all entries though the reader of their data centre ends', async t => {
  const log = new SharedLog('home')
  log.append('operators', 'config', encodeConfiguration(1))
  const entries = await startEntries(log, ['home', 'east'], 3)
  await haveInForce(entries, 1)
  const first = entries.filter(({ dataCentre, instance }) => instance === names(dataCentre)[0])
  await Promise.all(first.map(({ node }) => node.stop()))
  log.append('operators', 'config', encodeConfiguration(2))
  const rest = entries.filter(entry => !first.includes(entry))
  await haveInForce(rest, 2)
  t.equal(rest.length, 4)
  await Promise.all(rest.map(({ node }) => node.stop()))
})

async function haveInForce (entries: readonly GroupedEntry[], version: number): Promise<void> {
  await eventually(async () => (await Promise.all(entries.map(versionInForce))).every(inForce => inForce === version))
}

function encodeConfiguration (version: number): Buffer {
  return Buffer.from(JSON.stringify({ version, routes: [], services: [], tenants: [], limits: {} }))
}

/** Address of a server with the given handler; nothing listens there without one. */
async function listen (t: Test, serve: ((server: Server) => void) | undefined): Promise<string> {
  const address = freshAddress()
  if (serve === undefined) return address
  const server = createServer()
  serve(server)
  await listenOn(server, address)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return address
}
