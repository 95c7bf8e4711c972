/** Requests of all entries together to an upstream that names a limit of requests a second. */
import { setTimeout as delay } from 'node:timers/promises'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { test } from 'tap'
import { monotonicNow } from '../src/utils/clock.js'
import type { GroupedEntry } from './fakes/entry-group.js'
import { Fleet, isServed } from './fakes/plain-fleet.js'

/** Callers' requests a second, spread evenly over the entries. */
const demandPerSecond = 24
/** Time from the first answer that names the limit until the limit binds, milliseconds. */
const settleMilliseconds = 3000
const windowMilliseconds = 4000
const observedMilliseconds = 9000
const limitPerSecond = 2
/** Bound of the stated rule: one and a half times what the limit allows in a window, and five requests. */
const allowed = Math.floor(limitPerSecond * windowMilliseconds / 1000 * 1.5) + 5

/** Answers as an upstream that names its limit. */
function answer (incoming: IncomingMessage, response: ServerResponse, status: number): void {
  const outcome = status === 200 ? { 'x-server-stamp': 'stamp' } : { 'x-not-executed': '1' }
  response.writeHead(status, { ...outcome, 'x-attempt-id': String(incoming.headers['x-attempt-id']), 'server-limit': String(limitPerSecond) }).end('done')
}

interface Case {
  readonly name: string
  readonly entries: number
  /** Status of the upstream's answer to its nth request. */
  readonly statusOf: (number: number) => number
  readonly change?: (fleet: Fleet, entries: GroupedEntry[]) => Promise<void>
}

const cases: readonly Case[] = [
  { name: 'eight entries', entries: 8, statusOf: () => 200 },
  { name: 'refusals, after which callers and entries retry', entries: 8, statusOf: number => number % 2 === 0 ? 503 : 200 },
  {
    name: 'an entry that starts meanwhile',
    entries: 4,
    statusOf: () => 200,
    change: async (fleet, entries) => {
      await delay(settleMilliseconds)
      entries.push(await fleet.startEntry())
    }
  },
  {
    name: 'an entry that stops meanwhile',
    entries: 4,
    statusOf: () => 200,
    change: async (fleet, entries) => {
      await delay(settleMilliseconds)
      const [stopped] = entries.splice(0, 1)
      if (stopped !== undefined) await fleet.stopEntry(stopped)
    }
  }
]

for (const { name, entries: count, statusOf, change } of cases) {
  test(`upstream limit exceeded: ${name}`, async t => {
    const arrivals: number[] = []
    const fleet = new Fleet((incoming, response) => {
      arrivals.push(monotonicNow())
      answer(incoming, response, statusOf(arrivals.length))
    })
    await fleet.start()
    const entries: GroupedEntry[] = []
    for (let started = 0; started < count; started += 1) entries.push(await fleet.startEntry())
    await delay(1500)
    const changed = change?.(fleet, entries)
    const until = monotonicNow() + settleMilliseconds + observedMilliseconds
    const sent: Promise<unknown>[] = []
    for (let number = 0; monotonicNow() < until; number += 1) {
      const entry = entries[number % entries.length]
      if (entry !== undefined) sent.push(isServed(entry, `request-${number}`).catch(() => false))
      await delay(1000 / demandPerSecond)
    }
    await Promise.all([changed, ...sent])
    await fleet.stop()
    const binding = arrivals.filter(at => at >= (arrivals[0] ?? 0) + settleMilliseconds)
    const windows = binding.map(start => binding.filter(at => at >= start && at < start + windowMilliseconds).length)
    const busiest = Math.max(0, ...windows)
    t.ok(busiest <= allowed, `at most ${allowed} requests in 4 s: ${busiest}`)
    t.ok(binding.length > 0, 'the upstream is used')
  })
}
