/** Record follower: unresponsive and failing log, expired records, records of peers, and order by offset. */
import { test } from 'tap'
import { PlatformRecords } from '../platform/records.js'
import type { LogPosition } from '../src/core/log-position.js'
import { isLagging, RecordFollower, type FollowerState } from '../src/nodes/record-follower.js'
import { Metrics } from '../src/plugins/metrics.js'
import { FleetState } from '../src/roles/gateway/fleet-state.js'
import { HttpCallError } from '../src/transports/http-call.js'
import { RecordLog, type KeyedRecord, type NewestRecords, type ReadCost, type RecordPage } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import { at } from './fakes/positions.js'

const record = (key: string, offset: number, text: string | undefined = 'value'): KeyedRecord => ({ key, value: text === undefined ? undefined : Buffer.from(text), ...at(offset) })
/** A record of 20 kB. */
const large = (key: string, offset: number): KeyedRecord => record(key, offset, 'x'.repeat(20_000))
const lost = new Error('no answer')
const costOf = (records: readonly KeyedRecord[]): ReadCost => ({ bytes: 100 * records.length, firstByteMilliseconds: 5, milliseconds: 7, records: records.length, superseded: 0 })
const page = (records: readonly KeyedRecord[], next: number, end = next, ageMilliseconds = 0): RecordPage => ({ kind: 'records', records, next: at(next), end, cost: costOf(records), ageMilliseconds })

/** A log that returns prepared answers and then never answers again. */
class ScriptedLog extends RecordLog {
  readonly waits: number[] = []
  /** Limit of each read, in order. */
  readonly limits: number[] = []

  constructor (private readonly newestPages: readonly (readonly KeyedRecord[] | Error)[], private readonly reads: readonly (RecordPage | Error)[]) {
    super()
  }

  private newestCalls = 0
  private readCalls = 0

  async newest (): Promise<NewestRecords> {
    const records = this.newestPages[Math.min(this.newestCalls, this.newestPages.length - 1)] ?? []
    this.newestCalls += 1
    if (records instanceof Error) throw records
    return { records, next: at(Math.max(0, ...records.map(({ offset }) => offset + 1))), cost: costOf(records) }
  }

  async read (_stream: string, _from: LogPosition, waitUntil: number, limit: number): Promise<RecordPage> {
    this.limits.push(limit)
    this.waits.push(waitUntil - monotonicNow())
    const answer = this.reads[this.readCalls]
    this.readCalls += 1
    if (answer instanceof Error) throw answer
    return answer ?? await new Promise<RecordPage>(() => {})
  }

  async write (): Promise<void> {}
}

interface Case {
  readonly name: string
  readonly newest: readonly (readonly KeyedRecord[])[]
  readonly reads: readonly (RecordPage | Error)[]
  readonly fromPeer?: readonly KeyedRecord[]
  /** Key, offset and whether there is a value, in the order in which the listener received them. */
  readonly expected: readonly (readonly [string, number, boolean])[]
}

const cases: readonly Case[] = [
  { name: 'the newest records, then what follows', newest: [[record('a', 3)]], reads: [page([record('a', 4), record('b', 5)], 6)], expected: [['a', 3, true], ['a', 4, true], ['b', 5, true]] },
  { name: 'a removed key', newest: [[record('a', 3)]], reads: [page([{ key: 'a', value: undefined, ...at(4) }], 5)], expected: [['a', 3, true], ['a', 4, false]] },
  { name: 'records that expired: missing keys are reported as removed', newest: [[record('a', 3), record('b', 4)], [record('b', 9)]], reads: [{ kind: 'expired' }], expected: [['a', 3, true], ['b', 4, true], ['b', 9, true], ['a', 9, false]] },
  { name: 'behind a large record, the newest of each key; a key that is missing there is removed', newest: [[large('a', 3), record('b', 2)], [large('a', 9)]], reads: [page([large('a', 4)], 5, 10), page([large('a', 10)], 11)], expected: [['a', 3, true], ['b', 2, true], ['a', 4, true], ['a', 9, true], ['b', 9, false], ['a', 10, true]] },
  { name: 'behind a small record, all that follow', newest: [[large('a', 3)]], reads: [page([record('b', 4)], 5, 7), page([record('c', 5), { key: 'b', value: undefined, ...at(6) }], 7)], expected: [['a', 3, true], ['b', 4, true], ['c', 5, true], ['b', 6, false]] },
  { name: 'a read that fails', newest: [[record('a', 3)]], reads: [lost, page([record('a', 4)], 5)], expected: [['a', 3, true], ['a', 4, true]] },
  { name: 'an older record of a peer is ignored', newest: [[record('a', 3)]], reads: [], fromPeer: [record('a', 2)], expected: [['a', 3, true]] },
  { name: 'a newer record of a peer, once', newest: [[record('a', 3)]], reads: [], fromPeer: [record('a', 7), record('a', 7)], expected: [['a', 3, true], ['a', 7, true]] }
]

for (const { name, newest, reads, fromPeer = [], expected } of cases) {
  test(`record follower: ${name}`, async t => {
    const received: (readonly [string, number, boolean])[] = []
    const log = new ScriptedLog(newest, reads)
    const follower = new RecordFollower(log, 'operators', { pause: 1, wait: 2500 }, {
      record: ({ key, offset, value }) => { received.push([key, offset, value !== undefined]) },
      confirmed: () => {}
    })
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.receiveRecords({ records: fromPeer, next: at(8), cost: costOf(fromPeer), source: 'peer' }, at(4))
    follower.stop()
    t.same(received, expected)
    t.ok(log.waits.every(wait => wait <= 3000), 'a read of an unresponsive log ends within 3 s')
  })
}

const confirmationCases: readonly { readonly name: string, readonly newest: readonly (readonly KeyedRecord[] | Error)[], readonly reads: readonly (RecordPage | Error)[], readonly expected: readonly string[] }[] = [
  { name: 'a log that is unavailable at the start', newest: [lost, [record('a', 3)]], reads: [], expected: ['0', 'a'] },
  { name: 'a read that fails', newest: [[record('a', 3)]], reads: [lost, page([], 4)], expected: ['0', 'a', '0'] },
  { name: 'records of another node, confirmed a while ago', newest: [[record('a', 3)]], reads: [page([record('b', 4)], 5, 5, 800)], expected: ['0', 'a', '800', 'b'] },
  { name: 'records of another node that does not tell their age', newest: [[record('a', 3)]], reads: [page([record('b', 4)], 5, 5, Infinity)], expected: ['0', 'a', 'b'] },
  { name: 'records that expired', newest: [[record('a', 3)], [record('b', 9)]], reads: [{ kind: 'expired' }], expected: ['0', 'a', '0', 'b', 'a'] }
]

for (const { name, newest, reads, expected } of confirmationCases) {
  test(`record follower: confirmations come before the records, with their age, ${name}`, async t => {
    const events: string[] = []
    const follower = new RecordFollower(new ScriptedLog(newest, reads), 'instances', { pause: 1, wait: 2500 }, {
      record: ({ key }) => { events.push(key) },
      confirmed: at => { events.push(String(Math.round((monotonicNow() - at) / 100) * 100)) }
    })
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.stop()
    t.same(events, expected)
  })
}

test('record follower: reads are counted by stream, source and result, with what they cost', async t => {
  const metrics = new Metrics()
  const superseding: RecordPage = { kind: 'records', records: [record('a', 4), record('a', 5)], next: at(6), end: 6, cost: { bytes: 250, firstByteMilliseconds: 900, milliseconds: 940, records: 2, superseded: 1 } }
  const cut = new HttpCallError(lost, 60)
  const log = new ScriptedLog([[record('a', 3)]], [cut, superseding, page([], 6), { kind: 'expired' }])
  const sources: string[] = []
  const follower = new RecordFollower(log, 'operators', { pause: 1, wait: 2500 }, {
    record: (_record, _isFirst, { source }) => { sources.push(source) },
    confirmed: () => {}
  }, metrics)
  follower.run().catch(error => { t.error(error) })
  await new Promise(resolve => { setTimeout(resolve, 900) })
  follower.receiveRecords({ records: [record('a', 9)], next: at(10), source: 'peer', cost: { bytes: 30, firstByteMilliseconds: 1, milliseconds: 2, records: 1, superseded: 0 } }, at(6))
  follower.countPeerFailure(new HttpCallError(lost, 7))
  follower.stop()
  const reads = (source: string, result: string): number => metrics.valueOf('records_reads_total', { stream: 'operators', source, result })
  t.same(['newest', 'records', 'empty', 'expired', 'failed'].map(result => reads('log', result)), [2, 1, 1, 1, 1])
  t.same(['newest', 'failed'].map(result => reads('peer', result)), [1, 1])
  t.equal(metrics.valueOf('records_bytes_total', { stream: 'operators', source: 'log' }), 60 + 100 + 250 + 100)
  t.equal(metrics.valueOf('records_bytes_total', { stream: 'operators', source: 'peer' }), 37)
  t.equal(metrics.valueOf('records_superseded_total', { stream: 'operators' }), 1)
  t.match(metrics.render(), /pollendyke_records_read_milliseconds_count\{stream="operators",source="log"\} 4/)
  t.same(sources, ['log', 'log', 'log', 'peer'])
})

test('a new configuration is logged with its source, its bytes and the time to read it', async t => {
  const lines: string[] = []
  writeLogs('info', line => { lines.push(line) })
  t.teardown(() => { writeLogs('silent') })
  const state = new FleetState(new PlatformRecords(), 1000, () => {})
  const value = Buffer.from(JSON.stringify({ version: 7, routes: [], services: [], limits: {} }))
  state.put({ key: 'config', value, ...at(3) }, false, { source: 'log', cost: { bytes: 480, firstByteMilliseconds: 900, milliseconds: 940, records: 1, superseded: 0 } })
  const line = lines.map(text => JSON.parse(text)).find(({ message }) => message === 'configuration: new configuration in force')
  t.match(line, { context: { version: 7, offset: 3, source: 'log', readMilliseconds: 40, bytes: 480 } })
})

const lagCases: readonly { readonly name: string, readonly state: FollowerState, readonly isExpected: boolean }[] = [
  { name: 'one that reads as much', state: { next: at(5), isConnected: true, confirmedAt: 0 }, isExpected: false },
  { name: 'one that has just read', state: { next: at(4), isConnected: true, confirmedAt: 9900 }, isExpected: false },
  { name: 'one whose read hangs', state: { next: at(4), isConnected: true, confirmedAt: 9000 }, isExpected: true },
  { name: 'one that has lost the log', state: { next: at(4), isConnected: false, confirmedAt: 9900 }, isExpected: true }
]

for (const { name, state, isExpected } of lagCases) {
  test(`record follower: lagging, ${name}`, async t => { t.equal(isLagging(state, at(5), 10_000), isExpected) })
}
