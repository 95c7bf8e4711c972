/** A retry for which all other upstreams have named limits waits for a permit in place of failing at once. */
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { Fleet, isServed } from './fakes/plain-fleet.js'
import type { GroupedEntry } from './fakes/entry-group.js'

test('limited retry lost: each request is served by the second upstream', async t => {
  const seen = new Set<string>()
  const fleet = new Fleet((incoming, response) => {
    const id = String(incoming.headers['x-attempt-id'])
    const isRetry = seen.has(id)
    seen.add(id)
    response.writeHead(isRetry ? 200 : 500, { 'x-server-stamp': 'stamp', 'x-attempt-id': id, 'server-limit': '20' }).end('done')
  }, 2)
  await fleet.start()
  fleet.writeUpstream('ready', 'i-2')
  const entries: readonly GroupedEntry[] = [await fleet.startEntry(), await fleet.startEntry(), await fleet.startEntry()]
  await delay(1500)
  const serve = async (number: number): Promise<boolean> => {
    await delay(150)
    const entry = entries[number % entries.length]
    return entry !== undefined && await isServed(entry, `request-${number}`)
  }
  // Until each entry knows the limit of both upstreams, requests need no permits.
  for (let number = 0; number < 12; number += 1) await serve(number)
  const served: boolean[] = []
  for (let number = 12; number < 36; number += 1) served.push(await serve(number))
  t.same(served, served.map(() => true))
  await fleet.stop()
})
