/** Record follower: unresponsive and failing log, expired records, records of peers, and order by offset. */
import { test } from 'tap'
import { isLagging, RecordFollower } from '../src/nodes/record-follower.js'
import { RecordLog, type KeyedRecord, type RecordPage } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'

const record = (key: string, offset: number, text: string | undefined = 'value'): KeyedRecord => ({ key, value: text === undefined ? undefined : Buffer.from(text), offset })
const lost = new Error('no answer')

/** A log that returns prepared answers and then never answers again. */
class ScriptedLog extends RecordLog {
  readonly waits: number[] = []

  constructor (private readonly newestPages: readonly (readonly KeyedRecord[] | Error)[], private readonly reads: readonly (RecordPage | Error)[]) {
    super()
  }

  private newestCalls = 0
  private readCalls = 0

  async newest (): Promise<{ readonly records: readonly KeyedRecord[], readonly next: number }> {
    const records = this.newestPages[Math.min(this.newestCalls, this.newestPages.length - 1)] ?? []
    this.newestCalls += 1
    if (records instanceof Error) throw records
    return { records, next: Math.max(0, ...records.map(({ offset }) => offset + 1)) }
  }

  async read (_stream: string, _from: number, waitUntil: number): Promise<RecordPage> {
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
  { name: 'the newest records, then what follows', newest: [[record('a', 3)]], reads: [{ kind: 'records', records: [record('a', 4), record('b', 5)], next: 6 }], expected: [['a', 3, true], ['a', 4, true], ['b', 5, true]] },
  { name: 'a removed key', newest: [[record('a', 3)]], reads: [{ kind: 'records', records: [{ key: 'a', value: undefined, offset: 4 }], next: 5 }], expected: [['a', 3, true], ['a', 4, false]] },
  { name: 'records that expired: missing keys are reported as removed', newest: [[record('a', 3), record('b', 4)], [record('b', 9)]], reads: [{ kind: 'expired' }], expected: [['a', 3, true], ['b', 4, true], ['b', 9, true], ['a', 9, false]] },
  { name: 'a read that fails', newest: [[record('a', 3)]], reads: [lost, { kind: 'records', records: [record('a', 4)], next: 5 }], expected: [['a', 3, true], ['a', 4, true]] },
  { name: 'an older record of a peer is ignored', newest: [[record('a', 3)]], reads: [], fromPeer: [record('a', 2)], expected: [['a', 3, true]] },
  { name: 'a newer record of a peer, once', newest: [[record('a', 3)]], reads: [], fromPeer: [record('a', 7), record('a', 7)], expected: [['a', 3, true], ['a', 7, true]] }
]

for (const { name, newest, reads, fromPeer = [], expected } of cases) {
  test(`record follower: ${name}`, async t => {
    const received: (readonly [string, number, boolean])[] = []
    const log = new ScriptedLog(newest, reads)
    const follower = new RecordFollower(log, 'operators', { pause: 1, wait: 2500 }, {
      record: ({ key, offset, value }) => { received.push([key, offset, value !== undefined]) },
      onLogRecovered: () => {}
    })
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.receiveRecords(fromPeer)
    follower.stop()
    t.same(received, expected)
    t.ok(log.waits.every(wait => wait <= 3000), 'a read of an unresponsive log ends within 3 s')
  })
}

test('record follower: a log that is unavailable at the start is not reported as recovered', async t => {
  const recoveries: number[] = []
  const countRecoveries = async (newest: readonly (readonly KeyedRecord[] | Error)[], reads: readonly (RecordPage | Error)[]): Promise<number> => {
    recoveries.length = 0
    const listener = { record: () => {}, onLogRecovered: (unreachableSince: number) => { recoveries.push(unreachableSince) } }
    const follower = new RecordFollower(new ScriptedLog(newest, reads), 'instances', { pause: 1, wait: 2500 }, listener)
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.stop()
    return recoveries.length
  }
  t.equal(await countRecoveries([lost, [record('a', 3)]], []), 0)
  t.equal(await countRecoveries([[record('a', 3)]], [lost, { kind: 'records', records: [], next: 4 }]), 1)
})

const lagCases: readonly { readonly name: string, readonly state: { readonly next: number, readonly isConnected: boolean, readonly readAt: number }, readonly isExpected: boolean }[] = [
  { name: 'one that reads as much', state: { next: 5, isConnected: true, readAt: 0 }, isExpected: false },
  { name: 'one that has just read', state: { next: 4, isConnected: true, readAt: 9900 }, isExpected: false },
  { name: 'one whose read hangs', state: { next: 4, isConnected: true, readAt: 9000 }, isExpected: true },
  { name: 'one that has lost the log', state: { next: 4, isConnected: false, readAt: 9900 }, isExpected: true }
]

for (const { name, state, isExpected } of lagCases) {
  test(`record follower: lagging, ${name}`, async t => { t.equal(isLagging(state, 5, 10_000), isExpected) })
}
