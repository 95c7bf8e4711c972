/** Following keyed records: silence, expired records, peers, and records that must not go back. */
import { test } from 'tap'
import { isLagging, RecordFollower } from '../src/nodes/record-follower.js'
import { RecordLog, type KeyedRecord, type RecordPage } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'

const record = (key: string, offset: number, text: string | undefined = 'value'): KeyedRecord => ({ key, value: text === undefined ? undefined : Buffer.from(text), offset })
const lost = new Error('no answer')

/** A log that plays prepared answers, then falls silent. */
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
  readonly heard?: readonly KeyedRecord[]
  /** Key, offset and whether there is a value, in the order in which they were told. */
  readonly told: readonly (readonly [string, number, boolean])[]
}

const cases: readonly Case[] = [
  { name: 'the newest records, then what follows', newest: [[record('a', 3)]], reads: [{ kind: 'records', records: [record('a', 4), record('b', 5)], next: 6 }], told: [['a', 3, true], ['a', 4, true], ['b', 5, true]] },
  { name: 'a dropped key', newest: [[record('a', 3)]], reads: [{ kind: 'records', records: [{ key: 'a', value: undefined, offset: 4 }], next: 5 }], told: [['a', 3, true], ['a', 4, false]] },
  { name: 'records that expired: keys that are gone were dropped meanwhile', newest: [[record('a', 3), record('b', 4)], [record('b', 9)]], reads: [{ kind: 'expired' }], told: [['a', 3, true], ['b', 4, true], ['b', 9, true], ['a', 9, false]] },
  { name: 'a read that fails', newest: [[record('a', 3)]], reads: [lost, { kind: 'records', records: [record('a', 4)], next: 5 }], told: [['a', 3, true], ['a', 4, true]] },
  { name: 'an older record of a peer does not come back', newest: [[record('a', 3)]], reads: [], heard: [record('a', 2)], told: [['a', 3, true]] },
  { name: 'a newer record of a peer, once', newest: [[record('a', 3)]], reads: [], heard: [record('a', 7), record('a', 7)], told: [['a', 3, true], ['a', 7, true]] }
]

for (const { name, newest, reads, heard = [], told } of cases) {
  test(`record follower: ${name}`, async t => {
    const seen: (readonly [string, number, boolean])[] = []
    const log = new ScriptedLog(newest, reads)
    const follower = new RecordFollower(log, 'operators', { pause: 1, wait: 2500 }, {
      record: ({ key, offset, value }) => { seen.push([key, offset, value !== undefined]) },
      onLogRecovered: () => {}
    })
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.receiveRecords(heard)
    follower.stop()
    t.same(seen, told)
    t.ok(log.waits.every(wait => wait <= 3000), 'a silent connection is noticed within the bounds of configuration')
  })
}

test('record follower: a log that is away at the start has nothing that could have lapsed', async t => {
  const regained: number[] = []
  const followed = async (newest: readonly (readonly KeyedRecord[] | Error)[], reads: readonly (RecordPage | Error)[]): Promise<number> => {
    regained.length = 0
    const listener = { record: () => {}, onLogRecovered: (lostAt: number) => { regained.push(lostAt) } }
    const follower = new RecordFollower(new ScriptedLog(newest, reads), 'instances', { pause: 1, wait: 2500 }, listener)
    follower.run().catch(error => { t.error(error) })
    await new Promise(resolve => { setTimeout(resolve, 900) })
    follower.stop()
    return regained.length
  }
  t.equal(await followed([lost, [record('a', 3)]], []), 0)
  t.equal(await followed([[record('a', 3)]], [lost, { kind: 'records', records: [], next: 4 }]), 1)
})

const behind: readonly { readonly name: string, readonly state: { readonly next: number, readonly isConnected: boolean, readonly readAt: number }, readonly is: boolean }[] = [
  { name: 'one that reads as much', state: { next: 5, isConnected: true, readAt: 0 }, is: false },
  { name: 'one that has just read', state: { next: 4, isConnected: true, readAt: 9900 }, is: false },
  { name: 'one whose read hangs', state: { next: 4, isConnected: true, readAt: 9000 }, is: true },
  { name: 'one that the log turns away', state: { next: 4, isConnected: false, readAt: 9900 }, is: true }
]

for (const { name, state, is } of behind) {
  test(`record follower: left behind, ${name}`, async t => { t.equal(isLagging(state, 5, 10_000), is) })
}
