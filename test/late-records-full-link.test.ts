/** A configuration and a leaving reach every entry in time although the links between data centres are full, while readers of the log stop in series. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import { RegionalFleet, dataCentres } from './fakes/regional-fleet.js'

const entriesPerDataCentre = 8
const chunkBytes = 24_576
/** Version and size of the configuration that must come into force. */
const [version, routes] = [3, 1973] as const
/** Time after which an entry counts as not reached, milliseconds. */
const limitMilliseconds = 15_000

interface Case {
  readonly name: string
  /** Transfers of a chunk that are always under way on each link, in both directions. */
  readonly transfers: number
  /** Number of entries of each data centre that stop, first ones first. */
  readonly stops: number
  /** Time for a stop, see `GroupOptions`; entries of a planned stop serve others until callers no longer cache their addresses. */
  readonly stopGraceMilliseconds: number
  /** From the configuration until it must be in force, and from the leaving until it must be known, milliseconds. */
  readonly goals: { readonly configuration: number, readonly leaving: number }
}

const plannedMilliseconds = 8000
const atOnceMilliseconds = 1000

const cases: readonly Case[] = [
  { name: 'a queue of 0.3 s', transfers: 24, stops: 0, stopGraceMilliseconds: plannedMilliseconds, goals: { configuration: 1500, leaving: 1000 } },
  { name: 'a queue of 0.3 s, planned stops of half of the entries', transfers: 24, stops: 4, stopGraceMilliseconds: plannedMilliseconds, goals: { configuration: 1500, leaving: 1000 } },
  { name: 'a queue of 0.3 s, half of the entries stop', transfers: 24, stops: 4, stopGraceMilliseconds: atOnceMilliseconds, goals: { configuration: 1500, leaving: 1000 } },
  { name: 'a queue of 1 s', transfers: 82, stops: 0, stopGraceMilliseconds: plannedMilliseconds, goals: { configuration: 3000, leaving: 3000 } },
  { name: 'a queue of 1 s, planned stops of half of the entries', transfers: 82, stops: 4, stopGraceMilliseconds: plannedMilliseconds, goals: { configuration: 3000, leaving: 3000 } },
  { name: 'a queue of 1 s, half of the entries stop', transfers: 82, stops: 4, stopGraceMilliseconds: atOnceMilliseconds, goals: { configuration: 3000, leaving: 3000 } }
]

for (const { name, transfers, stops, stopGraceMilliseconds, goals } of cases) {
  test(`late records, full link: ${name}`, async t => {
    const fleet = await RegionalFleet.start({ entries: entriesPerDataCentre, agents: 0, stopGraceMilliseconds })
    const reached = { configuration: new Map<string, number>(), leaving: new Map<string, number>() }
    writeLogs('info', line => { recordReached(reached, fleet, line) })
    for (const from of dataCentres) for (const to of dataCentres) if (from !== to) fleet.network.fill(from, to, transfers, chunkBytes)
    await sleepUntil(monotonicNow() + 4000)
    fleet.configure(2, 253)
    fleet.listPlain(0, 'draining')
    const leavingAt = monotonicNow()
    await sleepUntil(leavingAt + 300)
    fleet.configure(version, routes)
    const configuredAt = monotonicNow()
    const { stopped, ends } = await stopReaders(fleet, stops)
    const remaining = fleet.entries.filter(({ instance }) => !stopped.has(instance))
    while (monotonicNow() < configuredAt + limitMilliseconds && remaining.some(({ instance }) => !reached.configuration.has(instance) || !reached.leaving.has(instance))) await sleepUntil(monotonicNow() + 50)
    writeLogs('silent')
    const slowest = (times: ReadonlyMap<string, number>, from: number): number => Math.round(Math.max(...remaining.map(({ instance }) => (times.get(instance) ?? Infinity) - from)))
    const [configuration, leaving] = [slowest(reached.configuration, configuredAt), slowest(reached.leaving, leavingAt)]
    t.ok(configuration <= goals.configuration, `the configuration is in force everywhere after ${configuration} ms, ${goals.configuration} are allowed`)
    t.ok(leaving <= goals.leaving, `the leaving is known everywhere after ${leaving} ms, ${goals.leaving} are allowed`)
    fleet.network.stopFilling()
    await Promise.all(ends)
    await fleet.stop()
  })
}

/** Stops entries of each data centre in the order in which they read the log, from 0.3 s on every 0.4 s. */
async function stopReaders (fleet: RegionalFleet, count: number): Promise<{ readonly stopped: ReadonlySet<string>, readonly ends: readonly Promise<void>[] }> {
  const order = dataCentres.map(dataCentre => fleet.readersOf(dataCentre).slice(0, count))
  const stopped = new Set(order.flat().map(({ instance }) => instance))
  const ends: Promise<void>[] = []
  for (let index = 0; index < count; index += 1) {
    await sleepUntil(monotonicNow() + (index === 0 ? 300 : 400))
    ends.push(...order.flatMap(entries => entries[index] ?? []).map(entry => fleet.stopEntry(entry)))
  }
  return { stopped, ends }
}

function recordReached ({ configuration, leaving }: Readonly<Record<'configuration' | 'leaving', Map<string, number>>>, { network, entries }: RegionalFleet, line: string): void {
  const { message, context } = JSON.parse(line) as { readonly message: string, readonly context: Readonly<Record<string, unknown>> }
  const place = network.callingPlace
  const instance = entries.find(({ internal }) => internal.startsWith(`${place?.ip ?? ''}:`))?.instance
  if (instance === undefined) return
  if (message.endsWith('new configuration in force') && context['version'] === version) configuration.set(instance, monotonicNow())
  const isLeaving = message.includes('upstream listed, restarted or changed') ? context['state'] === 'draining' : message.includes('another entry knows that an upstream leaves')
  if (isLeaving && context['upstream'] === 'plain-0' && !leaving.has(instance)) leaving.set(instance, monotonicNow())
}
