/** When a follower reports that the log answers again, and removals that come before that. */
import { test } from 'tap'
import { RecordFollower } from '../src/nodes/record-follower.js'
import { RecordLog, type KeyedRecord, type NewestRecords, type ReadCost, type RecordPage } from '../src/types/ports.js'
import { eventually } from './fakes/test-cluster.js'

const cost: ReadCost = { bytes: 1, firstByteMilliseconds: 1, milliseconds: 1, records: 1, superseded: 0 }
const known: KeyedRecord = { key: 'a', value: Buffer.from('{}'), offset: 3 }
const removal: KeyedRecord = { key: 'a', value: undefined, offset: 4 }
const lost = new Error('no answer')

/** A log that answers from prepared answers, and waits for ever after them. */
class ScriptedLog extends RecordLog {
  private calls = 0

  constructor (private readonly answers: ReadonlyArray<RecordPage | Error>) {
    super()
  }

  async newest (): Promise<NewestRecords> {
    const answer = await this.next()
    if (answer.kind === 'expired') throw lost
    return answer
  }

  async read (): Promise<RecordPage> {
    return await this.next()
  }

  async write (): Promise<void> {}

  private async next (): Promise<RecordPage> {
    const answer = this.answers[this.calls]
    this.calls += 1
    if (answer === undefined) return await new Promise<RecordPage>(() => {})
    if (answer instanceof Error) throw answer
    return answer
  }
}

interface Case {
  readonly name: string
  readonly answers: ReadonlyArray<RecordPage | Error>
  /** Whether another entry delivers the record after the first failure. */
  readonly hasPeer: boolean
  /** Offset up to which the follower has read in the end. */
  readonly next: number
  /** Events in order: removals with whether the log counts as connected, and recoveries. */
  readonly expected: readonly string[]
}

const cases: readonly Case[] = [
  {
    name: 'an entry that started while the log was away limits the use of what was removed meanwhile',
    answers: [lost, lost, { kind: 'records', records: [removal], next: 5, cost }],
    hasPeer: true,
    next: 5,
    expected: ['removed while not connected', 'recovered']
  },
  {
    name: 'records of an entry that has itself lost the log are no sign that the log answers again',
    answers: [{ kind: 'records', records: [known], next: 4, cost }, lost, { kind: 'records', records: [removal], next: 5, cost, source: 'peer', ageMilliseconds: 5000 }],
    hasPeer: false,
    next: 5,
    expected: ['removed while not connected']
  }
]

for (const { name, answers, hasPeer, next, expected } of cases) {
  test(`record recovery: ${name}`, async t => {
    const events: string[] = []
    const follower: RecordFollower = new RecordFollower(new ScriptedLog(answers), 'instances', { pause: 1, wait: 100 }, {
      record: ({ value }) => { if (value === undefined) events.push(`removed while ${follower.state.isConnected ? '' : 'not '}connected`) },
      onLogRecovered: () => { events.push('recovered') }
    })
    follower.run().catch(error => { t.error(error) })
    if (hasPeer) {
      await eventually(async () => !follower.state.isConnected)
      follower.receiveRecords({ records: [known], next: 4, cost, source: 'peer' }, -1)
    }
    await eventually(async () => follower.state.next === next)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    follower.stop()
    t.same(events, expected)
  })
}
