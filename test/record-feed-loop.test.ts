/** Whether two entries of a data centre, the first in rank cut off from the log, read it through the other one without reading from each other. */
import { test } from 'tap'
import { rankMembers } from '../src/utils/rendezvous.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, versionInForce, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'

const dataCentre = 'zone-a'
/** Time within which each change must reach both entries, milliseconds: what the loss of a reader may cost. */
const boundMilliseconds = 1000
/** Changes, at intervals that meet each part of a cycle of stale reads. */
const changes = { count: 10, intervalMilliseconds: 1150 } as const

async function reachesAll (entries: readonly GroupedEntry[], version: number, deadline: number): Promise<boolean> {
  for (;;) {
    const versions = await Promise.all(entries.map(versionInForce))
    if (versions.every(inForce => inForce >= version)) return true
    if (monotonicNow() > deadline) return false
    await sleepUntil(monotonicNow() + 20)
  }
}

test('record feed: changes reach both entries while the first in rank is cut off from the log', async t => {
  const log = new SharedLog(dataCentre)
  const write = (version: number): void => { log.append('operators', 'config', Buffer.from(JSON.stringify({ version, routes: [], services: [] }))) }
  write(1)
  const entries = await startEntries(log, [dataCentre], 2)
  t.ok(await reachesAll(entries, 1, monotonicNow() + 5000))
  await sleepUntil(monotonicNow() + 2000)
  const first = rankMembers(`records/${dataCentre}`, entries.map(({ instance }) => instance))[0] ?? ''
  log.unreachableFrom.add(first)
  await sleepUntil(monotonicNow() + 4000)
  const late: number[] = []
  for (let version = 2; version < 2 + changes.count; version += 1) {
    const writtenAt = monotonicNow()
    write(version)
    if (!await reachesAll(entries, version, writtenAt + boundMilliseconds)) late.push(version)
    await sleepUntil(writtenAt + changes.intervalMilliseconds)
  }
  t.same(late, [])
  await Promise.all(entries.map(({ node }) => node.stop()))
})
