/** Entries that all need the same large configuration at the same moment do not each read it over the link of their data centre. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { metricOf, startEntries, versionInForce, type GroupedEntry } from './fakes/entry-group.js'
import { encodeConfiguration } from './fakes/fleet-configuration.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const entriesPerDataCentre = 9
/** How often the link of a data centre may carry the configuration, as in late-configuration. */
const maximumCopies = 4
const otherBytes = 20_000

interface Case {
  readonly name: string
  readonly dataCentres: readonly string[]
  /** Makes all entries need the configuration at once; returns those that run then. */
  readonly disturb: (log: SharedLog, entries: readonly GroupedEntry[], large: Buffer, restart: () => Promise<readonly GroupedEntry[]>) => Promise<readonly GroupedEntry[]>
}

const cutOff: Case['disturb'] = async (log, entries, large) => {
  for (const { instance } of entries) log.unreachableFrom.add(instance)
  await sleepUntil(monotonicNow() + 4000)
  log.append('operators', 'config', large)
  log.unreachableFrom.clear()
  return entries
}

const restartAll: Case['disturb'] = async (log, entries, large, restart) => {
  await Promise.all(entries.map(({ node }) => node.stop()))
  log.append('operators', 'config', large)
  return await restart()
}

const cases: readonly Case[] = [
  { name: 'a region without entries near the log reaches it again', dataCentres: ['east'], disturb: cutOff },
  { name: 'all regions reach the log again', dataCentres: ['home', 'east'], disturb: cutOff },
  { name: 'all processes start at once', dataCentres: ['home', 'east'], disturb: restartAll },
  { name: 'all processes of a region without entries near the log start at once', dataCentres: ['east'], disturb: restartAll }
]

for (const { name, dataCentres, disturb } of cases) {
  test(`record herd: ${name}`, async t => {
    const log = new SharedLog('home')
    const ips = new Map<string, string>()
    log.append('operators', 'config', encodeConfiguration(1, 1))
    const first = await startEntries(log, dataCentres, entriesPerDataCentre, [], ips)
    await haveInForce(first, 1)
    await eventually(async () => (await Promise.all(first.map(entry => metricOf(entry, 'pollendyke_living_entries')))).every(count => count === first.length))
    const large = encodeConfiguration(2, 2000)
    const before = log.bytesReadIn('east')
    const entries = await disturb(log, first, large, async () => await startEntries(log, dataCentres, entriesPerDataCentre, [], ips))
    await haveInForce(entries, 2)
    const bytes = log.bytesReadIn('east') - before
    t.ok(bytes <= maximumCopies * large.length + otherBytes, `the link carried ${(bytes / large.length).toFixed(1)} copies from the log`)
    await Promise.all(entries.map(({ node }) => node.stop()))
  })
}

async function haveInForce (entries: readonly GroupedEntry[], version: number): Promise<void> {
  await eventually(async () => (await Promise.all(entries.map(async entry => await versionInForce(entry).catch(() => 0)))).every(inForce => inForce === version))
}
