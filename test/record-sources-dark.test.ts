/** Whichever sources of records go dark together, and in whichever order, a change is read within the time in which it must be in force. */
import { createServer, type ServerResponse } from 'node:http'
import { test, type Test } from 'tap'
import type { PreferredSource } from '../src/core/fleet/record-sources.js'
import { SourcePatience } from '../src/core/fleet/source-patience.js'
import { ReadMetrics } from '../src/nodes/read-metrics.js'
import { RecordFollower } from '../src/nodes/record-follower.js'
import { SelectedRecordLog } from '../src/nodes/selected-record-log.js'
import { Metrics } from '../src/plugins/metrics.js'
import { listenOn } from '../src/transports/http-listen.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { freshIp, internalPort } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { SimulatedTime } from './fakes/simulated-time.js'

/** Time from an acknowledgement until a configuration must be in force on a small deployment, milliseconds. */
const applyMilliseconds = 2000
/** Time that remains of it for the entries that read from this one, milliseconds: a poll and its answer. */
const passedOnMilliseconds = 300
/** Longest wait of one read, and of one poll, milliseconds. */
const [readMilliseconds, pollMilliseconds] = [1000, 500] as const

/** An entry that reads the log and answers polls, until it goes dark: from then on it answers nothing and closes nothing. */
class DarkEntry {
  isDark = false
  readonly source: PreferredSource
  private readonly waiting = new Set<() => void>()

  constructor (name: string, readonly ip: string, isSameDataCentre: boolean, private readonly log: SharedLog, private readonly time: SimulatedTime) {
    this.source = { kind: 'entry', instance: name, ip, isSameDataCentre, isReady: true }
  }

  async listen (t: Test): Promise<void> {
    const server = createServer((incoming, response) => {
      this.time.arrived()
      const query = new URLSearchParams((incoming.url ?? '').split('?')[1])
      this.answer(Number(query.get('from')), Number(query.get('wait')), response)
    })
    await listenOn(server, `${this.ip}:${internalPort}`)
    t.teardown(() => {
      server.close()
      server.closeAllConnections()
    })
  }

  /** Tells those that wait of a new record. */
  wake (): void {
    for (const send of [...this.waiting]) send()
  }

  private answer (from: number, waitMilliseconds: number, response: ServerResponse): void {
    if (this.isDark) return
    const send = (): void => {
      clearTimeout(timer)
      this.waiting.delete(send)
      if (this.isDark) return
      this.time.answered()
      const records = this.log.stream('operators')
      const following = records.filter(({ offset }) => offset >= from).map(({ key, value, offset }) => ({ key, value: value?.toString() ?? null, offset }))
      response.setHeader('x-record-age', '0').setHeader('x-record-source-connected', 'yes').end(JSON.stringify({ records: following, next: records.length }))
    }
    const timer = setTimeout(send, waitMilliseconds)
    this.waiting.add(send)
    if (from < this.log.stream('operators').length) send()
  }
}

interface Case {
  readonly name: string
  /** Names of all entries that the reader prefers to the log, in its order. */
  readonly names: readonly string[]
  /** Names of the entries that go dark, and when, milliseconds from the change on. */
  readonly dark: readonly (readonly [name: string, at: number])[]
  /** Size of a record, bytes, and number of changes, 0.2 s apart; the last one counts. */
  readonly bytes: number
  readonly changes: number
}

/** Entries of the own data centre that come first: none for the one that reads for it. */
const layouts = [[], ['own-1'], ['own-1', 'own-2']] as const
const nearLog = ['near-1', 'near-2', 'near-3'] as const
/** When entries go dark: before the change, with it, or one after another in either order. */
const orders: readonly { readonly name: string, readonly at: (index: number, count: number) => number }[] = [
  { name: 'at once', at: () => -50 },
  { name: 'one after another, 0.15 s apart', at: index => -600 + 150 * index },
  { name: 'one after another, the last one first', at: (index, count) => -600 + 150 * (count - 1 - index) }
]
const cases: readonly Case[] = layouts.flatMap(own => {
  const names = [...own, ...nearLog]
  const subsets = Array.from({ length: 2 ** names.length }, (_, bits) => names.filter((_name, index) => (bits & 2 ** index) !== 0))
  return subsets.flatMap(dark => orders.filter((_order, index) => index === 0 || dark.length > 1).map(order => ({
    name: `${dark.join(', ')} of ${names.join(', ')}, ${order.name}`,
    names,
    dark: dark.map((entry, index) => [entry, order.at(index, dark.length)] as const),
    bytes: 1,
    changes: 1
  })))
})
/** Behind large records, all records are read anew in place of those that follow. */
const largeCases: readonly Case[] = cases.filter(({ name }) => name.endsWith('at once')).map(smallCase => ({ ...smallCase, name: `large records, ${smallCase.name}`, bytes: 20_000, changes: 3 }))
const allCases = [...cases, ...largeCases]

/** Time from the change until it was read, milliseconds. */
async function delayOf (t: Test, time: SimulatedTime, phase: number, { names, dark, bytes, changes }: Case): Promise<number> {
  const log = new SharedLog('home')
  const valueOf = (version: number): Buffer => Buffer.concat([Buffer.from(`${version} `), Buffer.alloc(bytes)])
  log.append('operators', 'config', valueOf(0))
  const entries = names.map(name => new DarkEntry(name, freshIp(), name.startsWith('own'), log, time))
  for (const entry of entries) await entry.listen(t)
  const selected = new SelectedRecordLog({
    instance: 'self',
    stream: 'operators',
    log: log.readerIn('east', 'self'),
    internalPort,
    logWaitMilliseconds: pollMilliseconds,
    metrics: new ReadMetrics(new Metrics(), 'operators'),
    sources: () => [...entries.map(({ source }) => source), { kind: 'log' }],
    readLate: (read, from) => { follower.receiveRecords(read, from) }
  })
  const inForce = new Map<string, number>()
  const waiting = new Map<string, () => void>()
  const follower: RecordFollower = new RecordFollower(selected, 'operators', { pause: 100, wait: readMilliseconds }, {
    record: ({ value }) => {
      const version = value?.toString().split(' ')[0] ?? ''
      inForce.set(version, monotonicNow())
      waiting.get(version)?.()
    },
    confirmed: () => {}
  })
  const reads = async (version: number): Promise<void> => { if (!inForce.has(String(version))) await new Promise<void>(resolve => { waiting.set(String(version), resolve) }) }
  follower.run().catch(error => { t.error(error) })
  t.teardown(() => {
    follower.stop()
    selected.close()
  })
  await reads(0)
  const changedAt = monotonicNow() + 1500 + phase
  const darkenings = dark.map(async ([name, offset]) => {
    await sleepUntil(changedAt + offset)
    const entry = entries.find(({ source }) => source.kind === 'entry' && source.instance === name)
    if (entry !== undefined) entry.isDark = true
  })
  let lastChangedAt = changedAt
  for (let version = 1; version <= changes; version += 1) {
    lastChangedAt = changedAt + 200 * (version - 1)
    await sleepUntil(lastChangedAt)
    log.append('operators', 'config', valueOf(version))
    for (const entry of entries) entry.wake()
  }
  await Promise.all([Promise.race([reads(changes), sleepUntil(lastChangedAt + 3 * applyMilliseconds)]), ...darkenings])
  follower.stop()
  for (const entry of entries) entry.isDark = true
  return (inForce.get(String(changes)) ?? Infinity) - lastChangedAt
}

/** When the change comes within the polls of those that wait, milliseconds after the start of one. */
const phases = [0, 100, 200, 300, 400] as const

test(`record sources that go dark: ${allCases.length} orders of losses`, async t => {
  const time = SimulatedTime.start()
  const delays = new Map<string, number>()
  const phasedCases = phases.flatMap(phase => allCases.map(darkCase => ({ phase, darkCase })))
  const batch = 97
  for (let start = 0; start < phasedCases.length; start += batch) {
    await Promise.all(phasedCases.slice(start, start + batch).map(async ({ phase, darkCase }) => { delays.set(`${darkCase.name}, ${phase} ms into a poll`, await delayOf(t, time, phase, darkCase)) }))
  }
  time.stop()
  const worst = [...delays].sort(([, left], [, right]) => right - left).slice(0, 3).map(([name, milliseconds]) => `${Math.round(milliseconds)} ms: ${name}`)
  t.comment(`slowest reads: ${worst.join('; ')}`)
  t.ok(Math.max(...delays.values()) <= applyMilliseconds - passedOnMilliseconds, `the change is read in time: ${worst.join('; ')}`)
})

const patienceCases: readonly { readonly name: string, readonly answers: readonly number[], readonly expected: Readonly<Record<'poll' | 'furtherPoll' | 'copy' | 'furtherCopy', number>> }[] = [
  { name: 'no answer yet: a first copy may take long', answers: [], expected: { poll: 800, furtherPoll: 200, copy: 1700, furtherCopy: 1700 } },
  { name: 'answers as soon as they can be', answers: [4, 502, 503], expected: { poll: 800, furtherPoll: 200, copy: 900, furtherCopy: 600 } },
  { name: 'a link that is full: its answers are waited for', answers: [502, 1100], expected: { poll: 1400, furtherPoll: 800, copy: 1500, furtherCopy: 1200 } },
  { name: 'a link that was full some polls ago', answers: [1100, 502, 502, 502, 502, 502], expected: { poll: 800, furtherPoll: 200, copy: 900, furtherCopy: 600 } },
  { name: 'a link that delays answers for seconds', answers: [4000], expected: { poll: 1700, furtherPoll: 1700, copy: 1700, furtherCopy: 1700 } }
]

for (const { name, answers, expected } of patienceCases) {
  test(`patience with a source of records: ${name}`, async t => {
    const patience = new SourcePatience()
    for (const milliseconds of answers) patience.recordAnswer(milliseconds)
    const times = { poll: patience.pollMilliseconds(false), furtherPoll: patience.pollMilliseconds(true), copy: patience.copyMilliseconds(false), furtherCopy: patience.copyMilliseconds(true) }
    t.ok(Object.entries(expected).every(([kind, milliseconds]) => Math.abs(times[kind as keyof typeof times] - milliseconds) < 10), JSON.stringify(times))
  })
}
