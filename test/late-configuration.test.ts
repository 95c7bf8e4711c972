/** Entries behind a narrow link have a large configuration in force in time: the link carries it a few times, not once for each entry. */
import { test } from 'tap'
import { encodeConfiguration } from './fakes/fleet-configuration.js'
import { SharedLog, linkBytesPerSecond } from './fakes/shared-log.js'
import { metricOf, startEntries, versionInForce, type GroupedEntry } from './fakes/entry-group.js'
import { eventually } from './fakes/test-cluster.js'

const dataCentres = ['home', 'east', 'west']
const remoteDataCentres = dataCentres.slice(1)
const entriesPerDataCentre = 9
/** Time from a configuration's acknowledgement until it must be in force everywhere, seconds. */
const goalSeconds = 1
/** Bytes of gossip and of records other than the configuration that the link may carry besides. */
const otherBytes = 10_000

interface Case {
  readonly name: string
  readonly routes: number
  readonly versions: number
  readonly intervalMilliseconds: number
  /** How often the link of a data centre may carry one configuration. */
  readonly maximumCopies: number
}

const cases: readonly Case[] = [
  { name: 'one of 2,000 routes', routes: 2000, versions: 1, intervalMilliseconds: 0, maximumCopies: 2 },
  { name: '25 in 1.5 s', routes: 2000, versions: 25, intervalMilliseconds: 60, maximumCopies: 4 }
]

for (const { name, routes, versions, intervalMilliseconds, maximumCopies } of cases) {
  test(`late configuration: ${name}`, async t => {
    const log = new SharedLog('home')
    log.append('operators', 'config', encodeConfiguration(1, 1))
    const entries = await startEntries(log, dataCentres, entriesPerDataCentre)
    await haveInForce(entries, 1)
    await knowEachOther(entries)
    const before = await Promise.all(remoteDataCentres.map(dataCentre => bytesOverLink(log, entries, dataCentre)))
    const configurations = Array.from({ length: versions }, (_, index) => encodeConfiguration(2 + index, routes))
    const size = configurations[0]?.length ?? 0
    for (const configuration of configurations) {
      log.append('operators', 'config', configuration)
      await new Promise(resolve => { setTimeout(resolve, intervalMilliseconds) })
    }
    await haveInForce(entries, 1 + versions)
    for (const [index, dataCentre] of remoteDataCentres.entries()) {
      const bytes = await bytesOverLink(log, entries, dataCentre) - (before[index] ?? 0)
      t.ok(bytes <= maximumCopies * size + otherBytes, `the link of ${dataCentre} carried ${(bytes / size).toFixed(1)} copies of ${size} bytes`)
      if (versions === 1) t.ok(bytes / linkBytesPerSecond <= goalSeconds, `the link of ${dataCentre} was busy for ${(bytes / linkBytesPerSecond).toFixed(2)} s`)
    }
    await Promise.all(entries.map(({ node }) => node.stop()))
  })
}

async function haveInForce (entries: readonly GroupedEntry[], version: number): Promise<void> {
  await eventually(async () => (await Promise.all(entries.map(versionInForce))).every(inForce => inForce === version))
}

/** Bytes of records that the link of a data centre has carried, from the log and from entries elsewhere. */
async function bytesOverLink (log: SharedLog, entries: readonly GroupedEntry[], dataCentre: string): Promise<number> {
  const local = entries.filter(entry => entry.dataCentre === dataCentre)
  const fromEntries = await Promise.all(local.map(entry => metricOf(entry, 'pollendyke_records_bytes_total', 'source="remote-peer"')))
  return log.bytesReadIn(dataCentre) + fromEntries.reduce((sum, bytes) => sum + bytes, 0)
}

/** Waits until each entry counts all others as alive. */
async function knowEachOther (entries: readonly GroupedEntry[]): Promise<void> {
  await eventually(async () => (await Promise.all(entries.map(entry => metricOf(entry, 'pollendyke_living_entries')))).every(count => count === entries.length))
}
