/** Entries serve the newest configuration after the log came back from an older copy: no dropped route is served and no added one refused. */
import { request } from 'node:http'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'

const dataCentres = ['home', 'east']
const entriesPerDataCentre = 3
/** Time from an acknowledgement until a configuration must be in force on a small deployment, milliseconds. */
const applyMilliseconds = 2000
/** Time for which the log is away, and until the operator writes the newest configuration again, milliseconds. */
const [awayMilliseconds, rewriteMilliseconds] = [1000, 300] as const

interface Case {
  readonly name: string
  /** Configurations that the copy lacks. */
  readonly lost: number
  /** Number of times that the log comes back from a copy, 2 s apart. */
  readonly drills: number
  /** Entries that start again while the log is away. */
  readonly restarts: number
}

const cases: readonly Case[] = [
  { name: 'one configuration is lost', lost: 1, drills: 1, restarts: 0 },
  { name: 'three configurations are lost', lost: 3, drills: 1, restarts: 0 },
  { name: 'three configurations are lost, twice', lost: 3, drills: 2, restarts: 0 },
  { name: 'three configurations are lost, and entries start again', lost: 3, drills: 1, restarts: 2 }
]

/** A configuration with a route of its own and that of the version before. */
function encodeConfiguration (version: number): Buffer {
  const routes = [version, version - 1].map(number => ({ name: `r-${number}`, host: 'a.example', 'path-prefix': `/r${number}/`, 'route-type': 'safe', 'timeout-ms': 200, 'latency-goal-ms': 100, priority: 1, 'max-attempts': 1, public: true, service: 'plain' }))
  return Buffer.from(JSON.stringify({ version, routes, services: [{ name: 'plain', 'max-conns': 8 }] }))
}

/** Whether an entry has the route of a version: without an upstream it answers 503, without the route 404. */
function hasRoute (entry: GroupedEntry, version: number): Promise<boolean> {
  const [host = '', port = ''] = entry.callers.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path: `/r${version}/1`, agent: false, headers: { host: 'a.example', 'x-attempt-id': `a${version}`, 'x-deadline-ms': '300' } }, answer => {
      answer.resume()
      resolve(answer.statusCode !== 404)
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}

/** Versions whose routes an entry has, of those up to `newest`. */
async function routesOf (entry: GroupedEntry, newest: number): Promise<readonly number[]> {
  const versions = Array.from({ length: newest }, (_, index) => index + 1)
  const present = await Promise.all(versions.map(version => hasRoute(entry, version)))
  return versions.filter((_version, index) => present[index])
}

for (const { name, lost, drills, restarts } of cases) {
  test(`older copy of the log, entries: ${name}`, async t => {
    const log = new SharedLog('home')
    let version = 1
    const configure = (): void => { log.append('operators', 'config', encodeConfiguration(version)) }
    configure()
    const ips = new Map<string, string>()
    let entries = await startEntries(log, dataCentres, entriesPerDataCentre, [], ips)
    t.teardown(async () => { await Promise.all(entries.map(({ node }) => node.stop())) })
    await sleepUntil(monotonicNow() + 3000)
    for (let drill = 0; drill < drills; drill += 1) {
      for (let count = 0; count < lost; count += 1) {
        version += 1
        configure()
        await sleepUntil(monotonicNow() + 300)
      }
      await sleepUntil(monotonicNow() + 1000)
      log.isUnavailable = true
      const restarted = entries.slice(0, restarts)
      await Promise.all(restarted.map(({ node }) => node.stop()))
      await sleepUntil(monotonicNow() + awayMilliseconds)
      log.isUnavailable = false
      log.comeBackFromCopy('operators', log.stream('operators').length - lost)
      if (restarts > 0) {
        // The first entry of each start is the first of its data centre.
        const again = await startEntries(log, ['home'], restarts, [], ips)
        entries = [...again, ...entries.slice(restarts)]
      }
      await sleepUntil(monotonicNow() + rewriteMilliseconds)
      configure()
      await sleepUntil(monotonicNow() + applyMilliseconds)
      for (const entry of entries) t.same(await routesOf(entry, version), [version - 1, version], `${entry.instance} serves what was written again`)
    }
    version += 1
    configure()
    await sleepUntil(monotonicNow() + applyMilliseconds)
    for (const entry of entries) t.same(await routesOf(entry, version), [version - 1, version], `${entry.instance} serves the next configuration`)
  })
}
