/** An entry that is delayed itself, as by a busy machine, does not take its own delay for a source that does not answer. */
import { test } from 'tap'
import { Worker } from 'node:worker_threads'
import type { PreferredSource } from '../src/core/fleet/record-sources.js'
import { ReadMetrics } from '../src/nodes/read-metrics.js'
import { SelectedRecordLog } from '../src/nodes/selected-record-log.js'
import { Metrics } from '../src/plugins/metrics.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { freshAddress } from '../script/launch.js'
import type { LogPosition } from '../src/core/log-position.js'
import { RecordLog, type NewestRecords, type RecordPage, type StreamName } from '../src/types/ports.js'
import { SharedLog } from './fakes/shared-log.js'
import { at } from './fakes/positions.js'

const internalPort = 7700
/** Time for which a poll is open, milliseconds: the source has nothing new. */
const pollMilliseconds = 300

/** Answers polls on a thread of its own, as another machine does; posts a message once it listens. */
const sourceProgram = `
const { createServer } = require('node:http')
const { parentPort, workerData } = require('node:worker_threads')
createServer((request, response) => {
  if (!workerData.answers) return
  setTimeout(() => {
    response.setHeader('x-record-age', '0').setHeader('x-record-source-connected', 'yes').end('{"records":[],"next":1}')
  }, ${pollMilliseconds})
}).listen(${internalPort}, workerData.ip, () => { parentPort.postMessage('listening') })
`

/** Counts the reads of a log. */
class CountedLog extends RecordLog {
  reads = 0

  constructor (private readonly inner: RecordLog) {
    super()
  }

  async newest (stream: StreamName): Promise<NewestRecords> {
    this.reads += 1
    return await this.inner.newest(stream)
  }

  async read (stream: StreamName, from: LogPosition, waitUntil: number, limit: number): Promise<RecordPage> {
    this.reads += 1
    return await this.inner.read(stream, from, waitUntil, limit)
  }

  async write (stream: StreamName, key: string, value: Buffer): Promise<void> {
    await this.inner.write(stream, key, value)
  }
}

interface Case {
  readonly name: string
  readonly answers: boolean
  /** When the process is blocked, milliseconds from the start of the read. */
  readonly blocked: readonly (readonly [from: number, to: number])[]
  readonly expected: string
}

const cases: readonly Case[] = [
  { name: 'it is delayed past the deadline of the answer', answers: true, blocked: [[100, 1400]], expected: 'source' },
  { name: 'it is delayed from the start', answers: true, blocked: [[0, 1300]], expected: 'source' },
  { name: 'it is not delayed', answers: true, blocked: [], expected: 'source' },
  { name: 'the source does not answer', answers: false, blocked: [], expected: 'log' },
  { name: 'the source does not answer, and it is delayed', answers: false, blocked: [[100, 1400]], expected: 'log' }
]

const placedCases = [true, false].flatMap(isSameDataCentre => cases.map(delayCase => ({ ...delayCase, isSameDataCentre })))

for (const { name, answers, blocked, expected, isSameDataCentre } of placedCases) {
  test(`record reader delay: the ${expected} delivers${isSameDataCentre ? '' : ', from another data centre'}: ${name}`, async t => {
    const ip = freshAddress().split(':')[0] ?? ''
    const worker = new Worker(sourceProgram, { eval: true, workerData: { ip, answers } })
    t.teardown(async () => { await worker.terminate() })
    await new Promise(resolve => { worker.once('message', resolve) })
    const log = new SharedLog('home')
    log.append('operators', 'config', Buffer.from('first'))
    const counted = new CountedLog(log.readerIn('home', 'self'))
    const sources: readonly PreferredSource[] = [{ kind: 'entry', instance: 'source', ip, isSameDataCentre, isReady: true }, { kind: 'log' }]
    const selected = new SelectedRecordLog({
      stream: 'operators',
      instance: 'self',
      log: counted,
      internalPort,
      logWaitMilliseconds: 500,
      metrics: new ReadMetrics(new Metrics(), 'operators'),
      readLate: () => {},
      sources: () => sources
    })
    const startedAt = monotonicNow()
    const read = selected.read('operators', at(1), startedAt + 1000, 1024)
    for (const [from, to] of blocked) {
      await sleepUntil(startedAt + from)
      // Timers that become due in the block run before the answer is received.
      await new Promise(resolve => { setImmediate(resolve) })
      while (monotonicNow() < startedAt + to);
    }
    await read
    t.equal(selected.source, expected)
    t.equal(counted.reads, expected === 'log' ? 1 : 0, 'reads of the log')
    selected.close()
  })
}
