/** Entries that still reach the log have a configuration in force in time although the entry that reads for them is cut off from it without a refusal. */
import type { LogPosition } from '../src/core/log-position.js'
import { test } from 'tap'
import { RecordLog, type NewestRecords, type RecordPage, type StreamName } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { rankMembers } from '../src/utils/rendezvous.js'
import { metricOf, startEntries, versionInForce, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentres = ['home', 'east']
const entriesPerDataCentre = 4
/** Time from an acknowledgement until a configuration must be in force on a small deployment, milliseconds. */
const applyMilliseconds = 2000
/** Time after which a call of the store is abandoned beyond its wait (platform/store.ts), milliseconds. */
const callMilliseconds = 1200

/** A log that does not answer some nodes at all, as behind a network partition. */
class CutLog extends SharedLog {
  readonly silentFor = new Set<string>()

  override readerIn (dataCentre: string, instance: string): RecordLog {
    return new CutReader(super.readerIn(dataCentre, instance), () => this.silentFor.has(instance))
  }
}

class CutReader extends RecordLog {
  constructor (private readonly inner: RecordLog, private readonly isCut: () => boolean) {
    super()
  }

  async newest (stream: StreamName): Promise<NewestRecords> {
    return await this.answer(this.inner.newest(stream), monotonicNow())
  }

  async read (stream: StreamName, from: LogPosition, waitUntil: number, limit: number): Promise<RecordPage> {
    return await this.answer(this.inner.read(stream, from, waitUntil, limit), waitUntil)
  }

  async write (stream: StreamName, key: string, value: Buffer): Promise<void> {
    await this.answer(this.inner.write(stream, key, value), monotonicNow())
  }

  private async answer<Result> (call: Promise<Result>, waitUntil: number): Promise<Result> {
    const wasCut = this.isCut()
    const result = await call
    if (!wasCut && !this.isCut()) return result
    await sleepUntil(waitUntil + callMilliseconds)
    throw new Error('no answer in time')
  }
}

interface Case {
  readonly name: string
  /** Entries that are cut off, as data centre and rank there. */
  readonly cut: readonly (readonly [string, number])[]
}

const cases: readonly Case[] = [
  { name: 'the first one near the log', cut: [['home', 0]] },
  { name: 'the first two near the log', cut: [['home', 0], ['home', 1]] }
]
const rounds = 4

for (const { name, cut } of cases) {
  test(`record reader cut: ${name}`, async t => {
    const log = new CutLog('home')
    log.append('operators', 'config', encodeConfiguration(1))
    const entries = await startEntries(log, dataCentres, entriesPerDataCentre)
    await haveInForce(entries, 1)
    await eventually(async () => (await Promise.all(entries.map(entry => metricOf(entry, 'pollendyke_living_entries')))).every(count => count === entries.length))
    await sleepUntil(monotonicNow() + 3000)
    const ranked = new Map(dataCentres.map(dataCentre => [dataCentre, rankMembers(`records/${dataCentre}`, entries.filter(entry => entry.dataCentre === dataCentre).map(({ instance }) => instance))]))
    const cutInstances = cut.map(([dataCentre, rank]) => ranked.get(dataCentre)?.[rank] ?? '')
    const inTouch = entries.filter(({ instance }) => !cutInstances.includes(instance))
    const durations: number[] = []
    for (let round = 0; round < rounds; round += 1) {
      await sleepUntil(monotonicNow() + 3000 + round * 130)
      for (const instance of cutInstances) log.silentFor.add(instance)
      log.append('operators', 'config', encodeConfiguration(2 + round))
      const appendedAt = monotonicNow()
      await haveInForce(inTouch, 2 + round)
      durations.push(Math.round(monotonicNow() - appendedAt))
      log.silentFor.clear()
      await haveInForce(entries, 2 + round)
    }
    t.ok(Math.max(...durations) <= applyMilliseconds, `in force after ${durations.join(', ')} ms`)
    await Promise.all(entries.map(({ node }) => node.stop()))
  })
}

async function haveInForce (entries: readonly GroupedEntry[], version: number): Promise<void> {
  await eventually(async () => (await Promise.all(entries.map(versionInForce))).every(inForce => inForce === version))
}

function encodeConfiguration (version: number): Buffer {
  return Buffer.from(JSON.stringify({ version, routes: [], services: [], tenants: [], limits: {} }))
}
